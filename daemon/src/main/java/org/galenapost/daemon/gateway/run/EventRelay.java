package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import org.galenapost.daemon.gateway.call.ResponseHead;

/**
 * Passes the events of one answer on to its caller, each once and in order, whichever server makes
 * them. The head of the first server stands for all.
 */
final class EventRelay {

  private final CallerSide caller;
  private OptionalLong lastId;
  private boolean hasBegun;
  private long events;
  private long lastEventNanos;

  EventRelay(CallerSide caller, OptionalLong resumeAfter) {
    this.caller = caller;
    this.lastId = resumeAfter;
  }

  /** What became of an event. */
  enum Outcome {
    PASSED_ON,
    KNOWN,
    OUT_OF_ORDER
  }

  /**
   * Takes a whole event.
   *
   * @param head the head of the server's answer
   * @param event the event, which is released
   * @param nowNanos the current reading of the monotonic clock
   */
  Outcome accept(ResponseHead head, ByteBuf event, long nowNanos) {
    OptionalLong id = EventCutter.idOf(event);
    if (id.isPresent() && lastId.isPresent()) {
      if (id.getAsLong() <= lastId.getAsLong()) {
        event.release();
        return Outcome.KNOWN;
      }
      if (id.getAsLong() != lastId.getAsLong() + 1) {
        event.release();
        return Outcome.OUT_OF_ORDER;
      }
    }
    begin(head);
    if (id.isPresent()) {
      lastId = id;
    }
    events++;
    lastEventNanos = nowNanos;
    caller.write(event);
    return Outcome.PASSED_ON;
  }

  private void begin(ResponseHead head) {
    if (!hasBegun) {
      hasBegun = true;
      caller.beginStream(head);
    }
  }

  /** Ends the answer as complete; an answer without events still gets its head. */
  void end(ResponseHead head) {
    begin(head);
    caller.endStream();
  }

  /** Returns the number of the last event that the caller has. */
  OptionalLong lastId() {
    return lastId;
  }

  boolean hasBegun() {
    return hasBegun;
  }

  long events() {
    return events;
  }

  long lastEventNanos() {
    return lastEventNanos;
  }
}
