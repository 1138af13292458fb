package org.galenapost.core.dispatch;

/**
 * The resources that a call needs on a server.
 *
 * @param promptTokens the prompt tokens that an engine processes before the first event; 0 for a
 *     plain service
 * @param outputTokens the maximum number of generated tokens
 */
public record CallDemand(long promptTokens, long outputTokens) {

  /** The demand of a call of a plain service. */
  public static final CallDemand NONE = new CallDemand(0, 0);

  /** Returns the engine memory that a run needs at its maximum length, in tokens. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
