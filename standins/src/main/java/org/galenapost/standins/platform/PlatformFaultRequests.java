package org.galenapost.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The bodies of the calls that set faults. */
final class PlatformFaultRequests {

  private PlatformFaultRequests() {}

  /** What happens to a call in an outage. */
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
   * @param enabled whether it starts; absent means that it starts
   * @param mode what happens to calls; absent means that they are refused
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
   * @param delayMs the delay before the call takes effect; 0 ends it
   */
  record Slow(long delayMs) {}

  /**
   * Loses the answers of writes.
   *
   * @param count the number of writes; 0 ends it
   * @param kind the kind of object, or null for all
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
   * @param writesPerSecond the rate of writes; 0 has no limit
   * @param readsPerSecond the rate of reads; 0 has no limit
   */
  record Rates(double writesPerSecond, double readsPerSecond) {}
}
