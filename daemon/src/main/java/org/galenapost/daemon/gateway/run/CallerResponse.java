package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.ResponseHead;

/** The side of a call that faces the caller; each answer ends once. */
public interface CallerResponse {

  /** Passes on a whole answer; the body is released. */
  void writeResponse(ResponseHead head, ByteBuf body);

  /** Answers without a server's answer. */
  void writeRefusal(Refusal refusal);

  /** Begins a stream with the head of its first server. */
  void startStream(ResponseHead head);

  /** Passes on whole events; the buffer is released. */
  void writeEvents(ByteBuf events);

  /** Hands on to the network what was written. */
  void flush();

  /** Ends a stream as complete. */
  void completeStream();

  /** Closes the connection, so that a begun stream does not look complete. */
  void abort();

  /** Returns whether the caller keeps up with reading. */
  boolean isWritable();
}
