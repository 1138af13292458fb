package org.galenapost.core.dispatch;

import java.util.Objects;

/**
 * The resources that a call needs on a server.
 *
 * @param promptTokens the prompt tokens that an engine processes before the first event; 0 for a
 *     plain service
 * @param outputTokens the maximum number of generated tokens
 * @param urgency how much of a server the call may fill
 */
public record CallDemand(long promptTokens, long outputTokens, PlacementUrgency urgency) {

  /** The demand of a call of a plain service. */
  public static final CallDemand NONE = new CallDemand(0, 0);

  /** Checks that the urgency is present. */
  public CallDemand {
    Objects.requireNonNull(urgency, "urgency");
  }

  /** Creates the demand of a call that may fill a server. */
  public CallDemand(long promptTokens, long outputTokens) {
    this(promptTokens, outputTokens, PlacementUrgency.FULL);
  }

  /** Returns a copy with another urgency. */
  public CallDemand withUrgency(PlacementUrgency other) {
    return new CallDemand(promptTokens, outputTokens, other);
  }

  /** Returns the engine memory that a run needs at its maximum length, in tokens. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
