package org.galenapost.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BatchTest {

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final EngineCounts counts = new EngineCounts();
  private final CacheEventLog events = new CacheEventLog(0, 0, new Random(1), () -> 0);
  private final PrefixCache cache = new PrefixCache(4, events);
  private final List<String> started = new ArrayList<>();

  @Test
  void startsWaitingGenerationsByPriority() {
    // GIVEN one slot
    Batch batch = batch(EngineFixture.settings(1, 1, true));
    batch.add(generation("running", 5, "p", 10));
    batch.add(generation("late", 5, "p", 10));
    batch.add(generation("urgent", 1, "p", 10));

    // WHEN
    advance(batch, 100);

    // THEN
    assertThat(started).containsExactly("running", "urgent", "late");
    assertThat(batch.isIdle()).isTrue();
  }

  @Test
  void rejectsAGenerationWhenTheQueueIsFull() {
    // GIVEN one slot and two places to wait
    Batch batch = batch(EngineFixture.settings(1, 1, true));
    batch.add(generation("1", 0, "p", 10));
    batch.add(generation("2", 0, "p", 10));
    batch.add(generation("3", 0, "p", 10));

    // THEN
    assertThat(batch.add(generation("4", 0, "p", 10))).isFalse();
  }

  @Test
  void sharesTheTokenRateEvenly() {
    // GIVEN 1000 tokens a second and four generations that could take them all
    Batch batch = batch(EngineFixture.settings(0.1, 8, true));
    List<Generation> generations =
        List.of(
            generation("1", 0, "p", 10_000),
            generation("2", 0, "p", 10_000),
            generation("3", 0, "p", 10_000),
            generation("4", 0, "p", 10_000));
    generations.forEach(batch::add);

    // WHEN one second passes
    advance(batch, 200);

    // THEN
    assertThat(generations).allSatisfy(one -> assertThat(one.length()).isBetween(240, 255));
    assertThat(counts.tokensGenerated()).isBetween(980L, 1_005L);
  }

  @Test
  void doesNotCatchUpAfterASuspension() {
    // GIVEN one generation with 20 ms between tokens
    Batch batch = batch(EngineFixture.settings(20, 8, true));
    Generation generation = generation("1", 0, "p", 10_000);
    batch.add(generation);
    advance(batch, 10);
    int before = generation.length();

    // WHEN the engine is suspended for ten seconds
    batch.advance(TimeUnit.SECONDS.toNanos(10));

    // THEN it generates what half a second allows
    assertThat(generation.length() - before).isBetween(20, 26);
  }

  @Test
  void respectsTheTokenIntervalOfOneGeneration() {
    // GIVEN 20 ms between tokens
    Batch batch = batch(EngineFixture.settings(20, 8, true));
    Generation generation = generation("1", 0, "p", 10_000);
    batch.add(generation);

    // WHEN one second passes
    advance(batch, 200);

    // THEN
    assertThat(generation.length()).isBetween(48, 51);
  }

  @Test
  void skipsThePrefillOfACachedPrefix() {
    // GIVEN a prompt of two blocks
    Batch batch = batch(EngineFixture.settings(1, 8, true));
    String prompt = "x".repeat(2 * PrefixBlocks.BLOCK_CHARACTERS);
    batch.add(generation("1", 0, prompt, 1));
    advance(batch, 10);
    long firstRead = counts.report().prefillTokens();

    // WHEN
    batch.add(generation("2", 0, prompt, 1));
    advance(batch, 10);

    // THEN
    assertThat(firstRead).isEqualTo(2 * PrefixBlocks.BLOCK_TOKENS);
    assertThat(counts.report().prefillTokens() - firstRead).isEqualTo(1);
  }

  @Test
  void evictsTheLeastRecentlyUsedPrefixAndLogsTheEviction() {
    // GIVEN a full cache of four blocks
    cache.store("a".repeat(2 * PrefixBlocks.BLOCK_CHARACTERS));
    cache.store("b".repeat(2 * PrefixBlocks.BLOCK_CHARACTERS));

    // WHEN
    cache.store("c".repeat(PrefixBlocks.BLOCK_CHARACTERS));

    // THEN
    assertThat(events.readableAfter(5).events())
        .singleElement()
        .satisfies(
            event -> {
              assertThat(event.type()).isEqualTo(CacheEventLog.Type.EVICTED);
              assertThat(PrefixBlocks.digests("a".repeat(512))).contains(event.prefix());
            });
  }

  private Batch batch(EngineSettings settings) {
    return new Batch(settings, cache, counts, generation -> started.add(generation.id()));
  }

  private static void advance(Batch batch, int steps) {
    for (int i = 0; i < steps; i++) {
      batch.advance(STEP_NANOS);
    }
  }

  private static Generation generation(String id, int priority, String prompt, int maxTokens) {
    CompletionBody body =
        new CompletionBody(
            id, "m1", null, null, prompt, List.of(), 7, maxTokens, priority, true, 0);
    return new Generation(body, "v1");
  }
}
