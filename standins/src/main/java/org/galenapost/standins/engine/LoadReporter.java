package org.galenapost.standins.engine;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Reports load as it was a while ago. Not safe for threads. */
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

  /** Takes a new report, which callers see until the next one. */
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

  /** Returns a report that claims that nothing runs. */
  LoadReport idleReport() {
    return new LoadReport(0, 0, 0, 0, wallClock.instant());
  }

  /**
   * A report of load.
   *
   * @param running generations that hold a slot
   * @param waiting generations that wait for one
   * @param tokensPerSecond tokens produced since the report before
   * @param cacheUsed the share of the prefix cache in use
   * @param reportedAt when the report was taken
   */
  record LoadReport(
      int running, int waiting, double tokensPerSecond, double cacheUsed, Instant reportedAt) {}
}
