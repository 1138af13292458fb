package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Continuous batching: generations wait by priority, read their prefix, then share the token rate.
 * Time comes in as an argument. Not safe for threads.
 */
final class Batch {

  private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
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
   * @param onStarted told of each generation that has read its prefix
   */
  Batch(
      EngineSettings settings,
      PrefixCache cache,
      EngineCounts counts,
      Consumer<Generation> onStarted) {
    this.settings = settings;
    this.cache = cache;
    this.counts = counts;
    this.onPrefillComplete = onStarted;
  }

  /** Adds a generation, or returns false if too many wait. */
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
   * Lets the given time pass; of a longer pause only the first part counts, since an engine that
   * was suspended does not make up for the time.
   */
  void advance(long sinceLastNanos) {
    long elapsedNanos = Math.min(sinceLastNanos, MAX_STEP_NANOS);
    running.removeIf(Generation::hasEnded);
    waiting.removeIf(entry -> entry.generation.hasEnded());
    fillSlots();
    List<Generation> decoding = running.stream().filter(g -> !g.isPrefilling()).toList();
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
    double budget = elapsedNanos / NANOS_PER_SECOND * settings.prefillTokensPerSecond();
    for (Generation generation : running) {
      if (generation.isPrefilling() && budget > 0) {
        double read = generation.prefill(budget);
        budget -= read;
        counts.countPrefillTokens(read);
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
    int missesInRow = 0;
    int turn = nextTurnIndex;
    while (tokenBudget >= 1 && missesInRow < decoding.size()) {
      Generation generation = decoding.get(Math.floorMod(turn, decoding.size()));
      turn++;
      if (generation.hasEnded() || !generation.hasTokenCredit()) {
        missesInRow++;
        continue;
      }
      missesInRow = 0;
      generation.produceToken();
      counts.countGeneratedToken();
      tokenBudget--;
    }
    nextTurnIndex = Math.floorMod(turn, decoding.size());
  }

  private record QueueEntry(Generation generation, long sequence) {}
}
