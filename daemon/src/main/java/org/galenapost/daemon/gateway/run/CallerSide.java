package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.call.ResponseHead;

/** The side of a call that faces the caller; each answer ends once. */
public interface CallerSide {

  /** Passes on a whole answer; the body is released. */
  void answer(ResponseHead head, ByteBuf body);

  /** Answers without a server's answer. */
  void refuse(Refusal refusal);

  /** Begins a stream with the head of its first server. */
  void beginStream(ResponseHead head);

  /** Passes on whole events; the buffer is released. */
  void write(ByteBuf events);

  /** Hands on to the network what was written. */
  void flush();

  /** Ends a stream as complete. */
  void endStream();

  /** Closes the connection, so that a begun stream does not look complete. */
  void breakOff();

  /** Returns whether the caller keeps up with reading. */
  boolean isWritable();
}
