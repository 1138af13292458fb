package org.galenapost.scenarios.soak;

import java.util.Optional;
import org.galenapost.standins.gateway.RawHttpClient;

/**
 * One call as its caller saw it.
 *
 * @param id the id of the call
 * @param kind what was called
 * @param daemon the daemon that it was sent to
 * @param key the key that it was sent with
 * @param sentNanos when its last byte was sent
 * @param endNanos when the caller knew its end, or left
 * @param outcome how it ended
 * @param answer the answer, whole or broken off, if its head came
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

  /** What is called. */
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
    /** With a whole answer. */
    ANSWERED,
    /** The connection ended before the answer did. */
    BROKEN_OFF,
    /** Nothing more came. */
    SILENT,
    /** The caller went away. */
    LEFT
  }

  boolean isStatus(int status) {
    return answer.filter(found -> found.status() == status).isPresent();
  }

  long durationNanos() {
    return endNanos - sentNanos;
  }
}
