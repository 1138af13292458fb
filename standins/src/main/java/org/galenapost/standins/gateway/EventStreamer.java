package org.galenapost.standins.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.standins.gateway.ServerStandin.Behaviour;
import org.galenapost.standins.http.EventStream;
import org.galenapost.standins.http.Exchange;

/** Streams the numbered events of a server, with the faults that are set. */
final class EventStreamer {

  private static final Duration COMMENT_INTERVAL = Duration.ofMillis(200);
  private static final StrayBytes NO_STRAY_BYTES = new StrayBytes(0, "");

  private final ScheduledExecutorService eventLoop;
  private final Supplier<Behaviour> behaviour;
  private final Supplier<Duration> eventInterval;
  private final Consumer<String> onAborted;
  private volatile StrayBytes strayBytes = NO_STRAY_BYTES;

  /**
   * Creates a streamer.
   *
   * @param eventLoop writes the events
   * @param behaviour how the server handles calls
   * @param eventInterval the interval between events
   * @param onAborted receives the id of each call whose connection closes in the middle
   */
  EventStreamer(
      ScheduledExecutorService eventLoop,
      Supplier<Behaviour> behaviour,
      Supplier<Duration> eventInterval,
      Consumer<String> onAborted) {
    this.eventLoop = eventLoop;
    this.behaviour = behaviour;
    this.eventInterval = eventInterval;
    this.onAborted = onAborted;
  }

  /**
   * Bytes that belong to no chunk.
   *
   * @param event the event after which they come
   * @param text the bytes
   */
  private record StrayBytes(long event, String text) {}

  void setStrayBytes(long event, String text) {
    strayBytes = new StrayBytes(event, text);
  }

  static String eventData(long event, String callId) {
    return "event " + event + " of " + callId;
  }

  /** Answers a request with the events from a given one on. */
  void stream(Exchange exchange, Map<String, String> headers, String callId, long firstEvent) {
    streamFrom(exchange, exchange.openEventStream(headers), callId, firstEvent);
  }

  private void streamFrom(Exchange exchange, EventStream stream, String callId, long event) {
    Behaviour current = behaviour.get();
    boolean isSecondHalf = event > ServerStandin.EVENTS_PER_STREAM / 2;
    if (current == Behaviour.DYING_IN_STREAM && isSecondHalf) {
      stream
          .writeRaw(("id: " + event + "\nda").getBytes(StandardCharsets.UTF_8))
          .addListener(written -> stream.reset());
      return;
    }
    if (current == Behaviour.SILENT) {
      return;
    }
    if (current == Behaviour.TRICKLING && isSecondHalf) {
      stream.writeRaw(": still here\n".getBytes(StandardCharsets.UTF_8));
      schedule(COMMENT_INTERVAL, () -> streamFrom(exchange, stream, callId, event));
      return;
    }
    if (event > ServerStandin.EVENTS_PER_STREAM) {
      stream.end();
      writeStrayBytes(exchange, event);
      return;
    }
    stream.onClose(() -> onAborted.accept(callId));
    stream.write(event, eventData(event, callId));
    writeStrayBytes(exchange, event);
    schedule(eventInterval.get(), () -> streamFrom(exchange, stream, callId, event + 1));
  }

  private void writeStrayBytes(Exchange exchange, long event) {
    StrayBytes current = strayBytes;
    if (current.event() == event) {
      exchange.replyRaw(current.text());
    }
  }

  private void schedule(Duration delay, Runnable task) {
    eventLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
