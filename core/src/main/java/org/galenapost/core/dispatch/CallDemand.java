package org.galenapost.core.dispatch;

/**
 * What a call takes of a server.
 *
 * @param promptTokens the tokens that an engine reads before the first event; 0 at a plain service
 * @param outputTokens the most tokens that it makes
 */
public record CallDemand(long promptTokens, long outputTokens) {

  /** The demand of a call of a plain service. */
  public static final CallDemand NONE = new CallDemand(0, 0);

  /** Returns the memory that a run needs at its end, in tokens. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
