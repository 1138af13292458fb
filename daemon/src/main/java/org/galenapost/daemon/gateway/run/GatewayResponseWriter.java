package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.ResponseHead;

/**
 * Writes the response of one call to its caller. A response ends once; later writes are ignored.
 */
public interface GatewayResponseWriter {

  /** Writes a server's complete response; takes ownership of the body. */
  void writeResponse(ResponseHead head, ByteBuf body);

  /**
   * Writes a refusal instead of a server's response.
   *
   * @param refusal the refusal
   * @param wasSent whether the call was sent to a server
   */
  void writeRefusal(Refusal refusal, boolean wasSent);

  /** Starts a stream with the response head of its first server. */
  void startStream(ResponseHead head);

  /** Writes complete events; takes ownership of the buffer. */
  void writeEvents(ByteBuf events);

  /** Flushes written events to the network. */
  void flush();

  /** Ends a stream that is complete. */
  void completeStream();

  /**
   * Closes the connection, so that the caller cannot mistake a partial stream for a complete one.
   */
  void abort();

  /** Returns whether the caller's connection accepts more data without excess buffering. */
  boolean isWritable();
}
