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
 */
record CallRecord(
    String id,
    Kind kind,
    int daemon,
    String key,
    long sentNanos,
    long endNanos,
    Outcome outcome,
    Optional<RawHttpClient.Response> answer) {

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

  boolean isStatus(int status) {
    return answer.filter(found -> found.status() == status).isPresent();
  }

  long durationNanos() {
    return endNanos - sentNanos;
  }
}
