package org.galenapost.standins.engine;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Publishes load reports, which stay the same until the next refresh. Not thread-safe. */
final class LoadReporter {

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Batch batch;
  private final PrefixCache cache;
  private final EngineCounts counts;
  private final InstantSource wallClock;
  private final LongSupplier nanoTime;
  private long tokensAtLastReport;
  private long lastReportNanos;
  private LoadReport published;

  LoadReporter(
      Batch batch,
      PrefixCache cache,
      EngineCounts counts,
      InstantSource wallClock,
      LongSupplier nanoTime) {
    this.batch = batch;
    this.cache = cache;
    this.counts = counts;
    this.wallClock = wallClock;
    this.nanoTime = nanoTime;
    this.lastReportNanos = nanoTime.getAsLong();
    this.published = idleReport();
  }

  /** Publishes a new report of the current load. */
  void refresh() {
    long nowNanos = nanoTime.getAsLong();
    double seconds = Math.max(1, nowNanos - lastReportNanos) / NANOS_PER_SECOND;
    long tokens = Math.max(0, counts.tokensGenerated() - tokensAtLastReport);
    published =
        new LoadReport(
            batch.runningCount(),
            batch.waitingCount(),
            tokens / seconds,
            cache.usedFraction(),
            wallClock.instant());
    lastReportNanos = nowNanos;
    tokensAtLastReport = counts.tokensGenerated();
  }

  LoadReport published() {
    return published;
  }

  /** Returns a report of an idle engine, whatever the load is. */
  LoadReport idleReport() {
    return new LoadReport(0, 0, 0, 0, wallClock.instant());
  }

  /**
   * The load of an engine.
   *
   * @param running the generations that hold a slot
   * @param waiting the generations that queue for a slot
   * @param tokensPerSecond the mean rate of generated tokens since the previous report
   * @param cacheUsed the used fraction of the prefix cache, from 0 to 1
   * @param reportedAt the time of the report
   */
  record LoadReport(
      int running, int waiting, double tokensPerSecond, double cacheUsed, Instant reportedAt) {}
}
