package org.galenapost.core.dispatch;

/** Estimates how long a call waits at an engine. */
final class EngineWait {

  /** The increase in time to first event for each running call, whose steps the engine shares. */
  static final double RUNNING_CALL_PENALTY_MS = 10;

  /**
   * The share of an engine's memory that placement fills. The rest is reserved for longer answers.
   */
  static final double MAX_MEMORY_SHARE = 0.9;

  private EngineWait() {}

  /**
   * Returns the expected time to the first event, less the time in which an engine of nominal speed
   * reads the call's own prompt. So the figure of an engine of nominal speed is its wait, and that
   * of a fast idle engine may be below 0.
   *
   * @param memoryTokens the memory of the engine, in tokens
   * @param tokensPerMs the speed at which the engine reads prompts
   * @param use the use of the engine
   * @param demand the resources that the call needs
   * @param runMs the time that a run takes, after which an engine without free memory has some, in
   *     milliseconds
   */
  static double waitMs(
      long memoryTokens, double tokensPerMs, ServerUse use, CallDemand demand, double runMs) {
    double readMs = (use.unreadTokens() + demand.promptTokens()) / tokensPerMs;
    double nominalReadMs = demand.promptTokens() / ServerSpeeds.NOMINAL_TOKENS_PER_MS;
    double waitMs = readMs - nominalReadMs + use.calls() * RUNNING_CALL_PENALTY_MS;
    double excessTokens = excessTokens(memoryTokens, use, demand);
    if (excessTokens > 0) {
      waitMs += runMs * (1 + excessTokens / memoryTokens);
    }
    return waitMs;
  }

  /** Returns whether a call fits into the part of an engine's memory that placement fills. */
  static boolean hasFreeMemory(long memoryTokens, ServerUse use, CallDemand demand) {
    return excessTokens(memoryTokens, use, demand) <= 0;
  }

  private static double excessTokens(long memoryTokens, ServerUse use, CallDemand demand) {
    return use.memoryTokens() + demand.memoryTokens() - MAX_MEMORY_SHARE * memoryTokens;
  }
}
