package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import org.galenapost.daemon.gateway.call.ResponseHead;

/**
 * Passes the events of one answer on to its caller, each once and in order, whichever server makes
 * them. The head of the first server stands for all.
 */
final class EventRelay {

  private final CallerResponse caller;
  private OptionalLong lastEventId;
  private boolean hasStarted;
  private long eventCount;
  private long lastEventNanos;

  EventRelay(CallerResponse caller, OptionalLong resumeAfter) {
    this.caller = caller;
    this.lastEventId = resumeAfter;
  }

  /** What became of an event. */
  enum RelayResult {
    RELAYED,
    DUPLICATE,
    OUT_OF_ORDER
  }

  /**
   * Takes a whole event.
   *
   * @param head the head of the server's answer
   * @param event the event, which is released
   * @param nowNanos the current reading of the monotonic clock
   */
  RelayResult relay(ResponseHead head, ByteBuf event, long nowNanos) {
    OptionalLong id = EventSplitter.idOf(event);
    if (id.isPresent() && lastEventId.isPresent()) {
      if (id.getAsLong() <= lastEventId.getAsLong()) {
        event.release();
        return RelayResult.DUPLICATE;
      }
      if (id.getAsLong() != lastEventId.getAsLong() + 1) {
        event.release();
        return RelayResult.OUT_OF_ORDER;
      }
    }
    startStream(head);
    if (id.isPresent()) {
      lastEventId = id;
    }
    eventCount++;
    lastEventNanos = nowNanos;
    caller.writeEvents(event);
    return RelayResult.RELAYED;
  }

  private void startStream(ResponseHead head) {
    if (!hasStarted) {
      hasStarted = true;
      caller.startStream(head);
    }
  }

  /** Ends the answer as complete; an answer without events still gets its head. */
  void complete(ResponseHead head) {
    startStream(head);
    caller.completeStream();
  }

  /** Returns the number of the last event that the caller has. */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  boolean hasStarted() {
    return hasStarted;
  }

  long eventCount() {
    return eventCount;
  }

  long lastEventNanos() {
    return lastEventNanos;
  }
}
