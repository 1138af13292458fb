package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import org.galenapost.daemon.gateway.call.ResponseHead;

/**
 * Receives the response to one send, on the event loop. The last notification is either {@link
 * #onComplete()} or {@link #onFailure(SendFailure)}.
 */
public interface ResponseListener {

  /** Receives the head of the response. */
  void onHead(ResponseHead head);

  /** Receives a part of the body; the buffer is released by the caller of this method. */
  void onBody(ByteBuf part);

  /** Is notified that all bytes received so far have been delivered. */
  void onReadComplete();

  /** Is notified that the response is complete. */
  void onComplete();

  /** Is notified that the send failed and no complete response will arrive. */
  void onFailure(SendFailure failure);
}
