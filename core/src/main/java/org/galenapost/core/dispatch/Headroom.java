package org.galenapost.core.dispatch;

/** Decides whether a server keeps enough free for more urgent calls if it gets a call. */
final class Headroom {

  /** The unread prompts like its own that a less urgent call may find at an engine. */
  private static final double UNREAD_PROMPTS = 2;

  /** Keeps an engine busy until the daemons have learnt from use reports that room appeared. */
  private static final double MIN_QUEUE_MS = 100;

  private Headroom() {}

  /**
   * Returns whether a call leaves the headroom that its urgency demands. An idle engine has room
   * for any call.
   *
   * @param memoryTokens the memory of the engine, in tokens
   * @param slots the number of calls that the engine runs concurrently
   * @param tokensPerMs the speed at which the engine reads prompts
   * @param use the use of the engine
   * @param demand the resources that the call needs
   */
  static boolean isLeft(
      long memoryTokens, int slots, double tokensPerMs, ServerUse use, CallDemand demand) {
    double share = demand.urgency().fillShare();
    if (share >= 1 || use.calls() <= 0) {
      return true;
    }
    boolean isMemoryLeft =
        use.memoryTokens() + demand.memoryTokens()
            <= share * EngineWait.MAX_MEMORY_SHARE * memoryTokens;
    double queueMs = Math.max(MIN_QUEUE_MS, UNREAD_PROMPTS * demand.promptTokens() / tokensPerMs);
    boolean isQueueLeft = use.unreadTokens() / tokensPerMs <= share * queueMs;
    return isMemoryLeft && isQueueLeft && use.calls() < share * slots;
  }
}
