package org.galenapost.core.dispatch;

import java.util.List;
import java.util.Objects;
import org.galenapost.core.prompt.PromptPart;

/**
 * The resources that a call needs on a server.
 *
 * @param promptTokens the prompt tokens that an engine processes before the first event; 0 for a
 *     plain service
 * @param outputTokens the maximum number of generated tokens
 * @param promptParts the parts of the prompt in their order; empty if the call does not name them
 * @param urgency how much of a server the call may fill
 */
public record CallDemand(
    long promptTokens, long outputTokens, List<PromptPart> promptParts, PlacementUrgency urgency) {

  /** The demand of a call of a plain service. */
  public static final CallDemand NONE = new CallDemand(0, 0);

  /** Copies the parts, and checks that the urgency is present. */
  public CallDemand {
    promptParts = List.copyOf(promptParts);
    Objects.requireNonNull(urgency, "urgency");
  }

  /** Creates the demand of a call that may fill a server and names no parts of its prompt. */
  public CallDemand(long promptTokens, long outputTokens) {
    this(promptTokens, outputTokens, List.of());
  }

  /** Creates the demand of a call that may fill a server. */
  public CallDemand(long promptTokens, long outputTokens, List<PromptPart> promptParts) {
    this(promptTokens, outputTokens, promptParts, PlacementUrgency.FULL);
  }

  /** Returns a copy with the given parts of the prompt. */
  public CallDemand withPromptParts(List<PromptPart> parts) {
    return new CallDemand(promptTokens, outputTokens, parts, urgency);
  }

  /** Returns a copy with another urgency. */
  public CallDemand withUrgency(PlacementUrgency other) {
    return new CallDemand(promptTokens, outputTokens, promptParts, other);
  }

  /** Returns the engine memory that a run needs at its maximum length, in tokens. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
