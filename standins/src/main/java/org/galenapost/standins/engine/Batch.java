package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Simulates continuous batching. Generations queue by priority until a slot is free, prefill their
 * prefix, and then share the token rate. The caller passes in the elapsed time. Not thread-safe.
 */
final class Batch {

  /** A longer pause counts as this much, since a suspended engine does not catch up. */
  private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** The unused tokens that may carry over to the next step. A low limit avoids bursts. */
  private static final double MAX_CARRIED_TOKENS = 1;

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final EngineCounts counts;
  private final Consumer<Generation> onPrefillComplete;
  private final PriorityQueue<QueueEntry> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((QueueEntry entry) -> entry.generation.priority())
              .thenComparingLong(QueueEntry::sequence));
  private final List<Generation> running = new ArrayList<>();
  private long nextSequence;
  private double tokenBudget;
  private int nextTurnIndex;

  /**
   * Creates an empty batch.
   *
   * @param settings the rates, slots and queue length
   * @param cache the prefix cache that shortens prefill
   * @param counts the counters to update
   * @param onPrefillComplete is notified of each generation that has completed its prefill
   */
  Batch(
      EngineSettings settings,
      PrefixCache cache,
      EngineCounts counts,
      Consumer<Generation> onPrefillComplete) {
    this.settings = settings;
    this.cache = cache;
    this.counts = counts;
    this.onPrefillComplete = onPrefillComplete;
  }

  /** Queues a generation, or returns false if the queue is full. */
  boolean add(Generation generation) {
    if (waiting.size() >= settings.maxWaiting() && running.size() >= settings.slots()) {
      return false;
    }
    waiting.add(new QueueEntry(generation, nextSequence++));
    fillSlots();
    return true;
  }

  boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  /**
   * Simulates the work of the elapsed time. Ignores what exceeds the longest step, since an engine
   * that was suspended does not catch up.
   *
   * @param sinceLastNanos the time since the last call in nanoseconds
   */
  void advance(long sinceLastNanos) {
    long elapsedNanos = Math.min(sinceLastNanos, MAX_STEP_NANOS);
    running.removeIf(Generation::hasEnded);
    waiting.removeIf(entry -> entry.generation.hasEnded());
    fillSlots();
    List<Generation> decoding =
        running.stream().filter(generation -> !generation.isPrefilling()).toList();
    decode(decoding, elapsedNanos);
    prefill(elapsedNanos);
    decoding.forEach(Generation::notifyProgress);
  }

  private void fillSlots() {
    while (running.size() < settings.slots() && !waiting.isEmpty()) {
      Generation next = waiting.poll().generation;
      int cachedTokens = cache.cachedTokens(next.prefix());
      counts.countCachedTokens(cachedTokens);
      next.startPrefill(Math.max(1, next.prefixTokens() - cachedTokens));
      running.add(next);
    }
  }

  private void prefill(long elapsedNanos) {
    double budgetTokens = elapsedNanos / NANOS_PER_SECOND * settings.prefillTokensPerSecond();
    for (Generation generation : running) {
      if (generation.isPrefilling() && budgetTokens > 0) {
        double prefilled = generation.prefill(budgetTokens);
        budgetTokens -= prefilled;
        counts.countPrefillTokens(prefilled);
        finishPrefill(generation);
      }
    }
  }

  private void finishPrefill(Generation generation) {
    if (!generation.isPrefilling()) {
      cache.store(generation.prefix());
      generation.addCredit(1, MAX_CARRIED_TOKENS);
      onPrefillComplete.accept(generation);
    }
  }

  private void decode(List<Generation> decoding, long elapsedNanos) {
    if (decoding.isEmpty()) {
      tokenBudget = 0;
      return;
    }
    double elapsedTokens = elapsedNanos / NANOS_PER_SECOND * settings.tokensPerSecond();
    tokenBudget = Math.min(elapsedTokens + MAX_CARRIED_TOKENS, tokenBudget + elapsedTokens);
    double credit = elapsedNanos / NANOS_PER_MILLI / settings.tokenIntervalMs();
    decoding.forEach(generation -> generation.addCredit(credit, credit + MAX_CARRIED_TOKENS));
    produceRoundRobin(decoding);
  }

  private void produceRoundRobin(List<Generation> decoding) {
    int consecutiveNotDue = 0;
    int turnIndex = nextTurnIndex;
    while (tokenBudget >= 1 && consecutiveNotDue < decoding.size()) {
      Generation generation = decoding.get(Math.floorMod(turnIndex, decoding.size()));
      turnIndex++;
      if (generation.hasEnded() || !generation.hasTokenCredit()) {
        consecutiveNotDue++;
        continue;
      }
      consecutiveNotDue = 0;
      generation.produceToken();
      counts.countGeneratedToken();
      tokenBudget--;
    }
    nextTurnIndex = Math.floorMod(turnIndex, decoding.size());
  }

  private record QueueEntry(Generation generation, long sequence) {}
}
