package org.galenapost.core.dispatch;

import java.util.List;
import org.galenapost.core.prompt.PromptPart;

/**
 * The resources that a call needs on a server.
 *
 * @param promptTokens the prompt tokens that an engine processes before the first event; 0 for a
 *     plain service
 * @param outputTokens the maximum number of generated tokens
 * @param promptParts the parts of the prompt in their order; empty if the call does not name them
 */
public record CallDemand(long promptTokens, long outputTokens, List<PromptPart> promptParts) {

  /** The demand of a call of a plain service. */
  public static final CallDemand NONE = new CallDemand(0, 0);

  /** Copies the parts. */
  public CallDemand {
    promptParts = List.copyOf(promptParts);
  }

  /** Creates the demand of a call that does not name the parts of its prompt. */
  public CallDemand(long promptTokens, long outputTokens) {
    this(promptTokens, outputTokens, List.of());
  }

  /** Returns a copy with the given parts of the prompt. */
  public CallDemand withPromptParts(List<PromptPart> parts) {
    return new CallDemand(promptTokens, outputTokens, parts);
  }

  /** Returns the engine memory that a run needs at its maximum length, in tokens. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
