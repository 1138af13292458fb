package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import org.galenapost.daemon.gateway.call.ResponseHead;

/**
 * Relays the events of one stream to the caller, each once and in order, across the servers that
 * produce it. The caller gets the response head of the first server.
 */
final class EventRelay {

  private final GatewayResponseWriter caller;
  private OptionalLong lastEventId;
  private boolean hasStarted;
  private long eventCount;
  private long lastEventNanos;

  EventRelay(GatewayResponseWriter caller, OptionalLong resumeAfter) {
    this.caller = caller;
    this.lastEventId = resumeAfter;
  }

  /** Says how an event was handled. */
  enum RelayResult {
    RELAYED,
    DUPLICATE,
    OUT_OF_ORDER
  }

  /**
   * Relays a complete event unless the caller has it already or an earlier event is missing.
   *
   * @param head the head of the server's response
   * @param event the event; the relay takes ownership of it
   * @param nowNanos the current reading of the monotonic clock in nanoseconds
   * @return how the event was handled
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

  /** Relays the blank lines that follow the last event; takes ownership of them. */
  void relayBlankLines(ResponseHead head, ByteBuf blankLines) {
    startStream(head);
    caller.writeEvents(blankLines);
  }

  /** Completes the stream; a stream without events still starts with its head. */
  void complete(ResponseHead head) {
    startStream(head);
    caller.completeStream();
  }

  /** Returns the id of the last event that the caller has received. */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the offset in the whole stream, which starts before the caller's own resumption. */
  long offset() {
    return lastEventId.orElse(eventCount);
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
