package org.galenapost.scenarios.soak;

import java.util.Optional;
import org.galenapost.standins.gateway.RawHttpClient;

/**
 * One call as observed by its caller.
 *
 * @param id the id of the call
 * @param kind the kind of call
 * @param daemon the index of the daemon that received the call
 * @param key the API key sent with the call
 * @param sentNanos the monotonic time, in nanoseconds, after the request was sent; 0 until then
 * @param endNanos the monotonic time, in nanoseconds, when the call completed or the caller
 *     disconnected
 * @param outcome how the call ended
 * @param answer the response, complete or truncated; empty if no response head was received
 * @param resumption the stream that the call resumes, if it resumes one
 */
record CallRecord(
    String id,
    Kind kind,
    int daemon,
    String key,
    long sentNanos,
    long endNanos,
    Outcome outcome,
    Optional<RawHttpClient.Response> answer,
    Optional<Resumption> resumption) {

  /**
   * A stream that was broken off, as its caller goes on with it.
   *
   * @param stream the id of the call that brought the first event
   * @param afterEvent the number of the last event received
   */
  record Resumption(String stream, long afterEvent) {}

  /** A kind of call, with its HTTP method, path prefix and the servers that it may run on. */
  enum Kind {
    STREAM("POST", "/gen/", 5),
    IDEMPOTENT("GET", "/read/", 2),
    ONCE("POST", "/act/", 1);

    final String method;
    final String prefix;
    final int maxServers;

    Kind(String method, String prefix, int maxServers) {
      this.method = method;
      this.prefix = prefix;
      this.maxServers = maxServers;
    }
  }

  /** How a call ended. */
  enum Outcome {
    /** The caller received a complete response. */
    ANSWERED,
    /** The connection closed before the response was complete. */
    BROKEN_OFF,
    /** The call has not ended yet, or its read timed out before the response was complete. */
    SILENT,
    /** The caller disconnected without waiting for the response. */
    LEFT
  }

  /** Returns this call with how it has ended now. */
  CallRecord endedNow(long sent, Outcome how, Optional<RawHttpClient.Response> response) {
    return new CallRecord(
        id, kind, daemon, key, sent, System.nanoTime(), how, response, resumption);
  }

  boolean isStatus(int status) {
    return answer.filter(found -> found.status() == status).isPresent();
  }

  /** Returns the number of the last event that the caller had before the call. */
  long afterEvent() {
    return resumption.map(Resumption::afterEvent).orElse(0L);
  }

  /**
   * Returns how a caller may go on with the stream of this call; empty if it received no event of
   * it, or all.
   */
  Optional<Resumption> nextResumption() {
    boolean isBrokenOff = kind == Kind.STREAM && outcome == Outcome.BROKEN_OFF && isStatus(200);
    if (!isBrokenOff) {
      return resumption;
    }
    long events = answer.orElseThrow().body().split("\n\n", -1).length - 1;
    String stream = resumption.map(Resumption::stream).orElse(id);
    return events == 0 ? resumption : Optional.of(new Resumption(stream, afterEvent() + events));
  }

  long durationNanos() {
    return endNanos - sentNanos;
  }
}
