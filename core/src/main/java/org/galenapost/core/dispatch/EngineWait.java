package org.galenapost.core.dispatch;

/** Estimates how long a call waits at an engine. */
final class EngineWait {

  /** The increase in time to first event for each running call, whose steps the engine shares. */
  static final double RUNNING_CALL_PENALTY_MS = 10;

  /** The assumed wait at an engine whose memory is full, until one of its runs ends. */
  static final double FULL_ENGINE_WAIT_MS = 5_000;

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
   */
  static double waitMs(long memoryTokens, double tokensPerMs, ServerUse use, CallDemand demand) {
    double readMs = (use.unreadTokens() + demand.promptTokens()) / tokensPerMs;
    double nominalReadMs = demand.promptTokens() / ServerSpeeds.NOMINAL_TOKENS_PER_MS;
    double waitMs = readMs - nominalReadMs + use.calls() * RUNNING_CALL_PENALTY_MS;
    double excessTokens =
        use.memoryTokens() + demand.memoryTokens() - MAX_MEMORY_SHARE * memoryTokens;
    if (excessTokens > 0) {
      waitMs += FULL_ENGINE_WAIT_MS * (1 + excessTokens / memoryTokens);
    }
    return waitMs;
  }
}
