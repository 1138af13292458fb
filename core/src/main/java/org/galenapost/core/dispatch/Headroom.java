package org.galenapost.core.dispatch;

/** Decides whether a server keeps enough free for more urgent calls if it gets a call. */
final class Headroom {

  /**
   * The unread prompts that less urgent calls may leave at an engine, as reading time. Two usual
   * prompts keep it busy until the daemons have learnt that room appeared.
   */
  private static final double QUEUE_MS = 2_000;

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
    boolean isQueueLeft = use.unreadTokens() / tokensPerMs <= share * QUEUE_MS;
    return isMemoryLeft && isQueueLeft && use.calls() < share * slots;
  }
}
