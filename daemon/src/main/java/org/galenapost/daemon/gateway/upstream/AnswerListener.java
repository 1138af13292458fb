package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import org.galenapost.daemon.gateway.call.AnswerHead;

/** Hears of one send, on the event loop. Either the end or a failure comes last. */
public interface AnswerListener {

  /** Takes the head of the answer. */
  void onHead(AnswerHead head);

  /** Takes a part of the body; the buffer is the caller's. */
  void onBody(ByteBuf part);

  /** Says that every byte that had arrived was handed on. */
  void onPause();

  /** Says that the answer is complete. */
  void onEnd();

  /** Says that no complete answer comes. */
  void onFailure(SendFailure failure);
}
