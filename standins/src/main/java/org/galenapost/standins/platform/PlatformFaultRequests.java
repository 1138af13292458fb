package org.galenapost.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The bodies of requests that set faults. */
final class PlatformFaultRequests {

  private PlatformFaultRequests() {}

  /** How calls fail during an outage. */
  enum OutageMode {
    @JsonProperty("refuse")
    REFUSE,
    @JsonProperty("hang")
    HANG,
    @JsonProperty("close")
    CLOSE
  }

  /**
   * Starts or ends an outage.
   *
   * @param enabled true to start, false to end the outage; if absent, true
   * @param mode how calls fail; if absent, they are rejected
   */
  record Outage(Boolean enabled, OutageMode mode) {
    Outage {
      enabled = enabled == null || enabled;
      mode = mode == null ? OutageMode.REFUSE : mode;
    }
  }

  /**
   * Delays each call.
   *
   * @param delayMs the delay before a call is handled, in milliseconds; 0 removes the delay
   */
  record Slow(long delayMs) {}

  /**
   * Drops the responses of the next writes.
   *
   * @param count the number of responses to drop; 0 drops none
   * @param kind the object kind, or null for all kinds
   */
  record DropResponses(int count, String kind) {

    boolean matches(String objectKind) {
      return count > 0 && (kind == null || kind.equals(objectKind));
    }

    DropResponses decremented() {
      return new DropResponses(count - 1, kind);
    }
  }

  /**
   * Limits the rates of calls.
   *
   * @param writesPerSecond the rate limit of writes, in calls per second; 0 for none
   * @param readsPerSecond the rate limit of reads, in calls per second; 0 for none
   */
  record Rates(double writesPerSecond, double readsPerSecond) {}
}
