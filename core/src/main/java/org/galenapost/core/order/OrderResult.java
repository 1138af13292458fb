package org.galenapost.core.order;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** The result of the last reconciliation of an engine. */
public enum OrderResult {
  /** The engine matches the placement. */
  @JsonProperty("reached")
  REACHED,
  /** The engine is still loading models of the placement. */
  @JsonProperty("loading")
  LOADING,
  /** Orders were sent and more are needed. */
  @JsonProperty("in-progress")
  IN_PROGRESS,
  /** A load waits for the rate limit of the weight store. */
  @JsonProperty("paced")
  PACED,
  /** Another daemon holds the lease. */
  @JsonProperty("lease-held")
  LEASE_HELD,
  /** Another daemon has a newer placement. */
  @JsonProperty("placement-outdated")
  PLACEMENT_OUTDATED,
  /** The lease could not be acquired from the platform. */
  @JsonProperty("platform-unavailable")
  PLATFORM_UNAVAILABLE,
  /** The lease was about to expire. */
  @JsonProperty("lease-ended")
  LEASE_ENDED,
  /** The engine has seen a higher fencing number. */
  @JsonProperty("fenced")
  FENCED,
  /** The engine rejected an order. */
  @JsonProperty("rejected")
  REJECTED,
  /** No answer to an order was received. */
  @JsonProperty("answer-lost")
  ANSWER_LOST,
  /** The state of the engine could not be read. */
  @JsonProperty("unreachable")
  UNREACHABLE;

  /** Returns the name used in documents and metrics. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static OrderResult of(LeaseRefusal refusal) {
    return switch (refusal) {
      case HELD, CONFLICT -> LEASE_HELD;
      case PLACEMENT_OUTDATED -> PLACEMENT_OUTDATED;
      case PLATFORM_UNAVAILABLE -> PLATFORM_UNAVAILABLE;
    };
  }
}
