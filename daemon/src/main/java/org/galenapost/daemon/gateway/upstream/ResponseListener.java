package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import org.galenapost.daemon.gateway.call.ResponseHead;

/** Hears of one send, on the event loop. Either the end or a failure comes last. */
public interface ResponseListener {

  /** Takes the head of the answer. */
  void onHead(ResponseHead head);

  /** Takes a part of the body; the buffer is the caller's. */
  void onBody(ByteBuf part);

  /** Says that every byte that had arrived was handed on. */
  void onReadComplete();

  /** Says that the answer is complete. */
  void onComplete();

  /** Says that no complete answer comes. */
  void onFailure(SendFailure failure);
}
