package org.galenapost.core.admission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.List;
import java.util.function.IntSupplier;
import org.galenapost.core.time.MonotonicClock;

/**
 * Knows which part of each workspace's entitlement belongs to this daemon: the part that it has of
 * the workspace's recent demand. Parts of all daemons add up to one as long as totals are fresh.
 */
public final class DemandShares {

  private static final Duration HALF_LIFE = Duration.ofSeconds(10);
  private static final Duration SHARE_TIME_TO_LIVE = Duration.ofSeconds(40);
  private static final double NEGLIGIBLE_TOKENS = 0.5;
  private static final double EVEN_SHARE_WEIGHT = 0.05;
  private static final int MAX_WORKSPACES = 10_000;

  private final MonotonicClock clock;
  private final IntSupplier daemonCount;
  private final Cache<String, DecayingSum> ownDemandByWorkspace;
  private final Cache<String, Double> shares;

  /**
   * Creates shares without any demand.
   *
   * @param clock the clock
   * @param daemonCount the daemons believed alive, this one included
   */
  public DemandShares(MonotonicClock clock, IntSupplier daemonCount) {
    this.clock = clock;
    this.daemonCount = daemonCount;
    this.ownDemandByWorkspace = Caffeine.newBuilder().maximumSize(MAX_WORKSPACES).executor(Runnable::run).build();
    this.shares =
        Caffeine.newBuilder()
            .maximumSize(MAX_WORKSPACES)
            .expireAfterWrite(SHARE_TIME_TO_LIVE)
            .ticker(clock::nanos)
            .executor(Runnable::run)
            .build();
  }

  /** Counts demand, whether or not it is admitted. */
  public synchronized void onDemand(String workspace, double tokens) {
    ownDemandByWorkspace.get(workspace, name -> new DecayingSum()).add(tokens, clock.nanos());
  }

  /**
   * Takes in what all daemons together have seen. The part of this daemon follows from what it last
   * reported, not from its demand since then, which the totals do not know either.
   */
  public synchronized void onTotals(List<WorkspaceDemand> totals) {
    totals.forEach(total -> shares.put(total.workspace(), reportedShare(total)));
  }

  /** Returns the demand that this daemon has seen lately, to be reported; drops what has faded. */
  public synchronized List<WorkspaceDemand> ownDemands() {
    long nowNanos = clock.nanos();
    ownDemandByWorkspace.asMap().values().removeIf(sum -> sum.valueAt(nowNanos) < NEGLIGIBLE_TOKENS);
    return ownDemandByWorkspace.asMap().entrySet().stream()
        .map(entry -> new WorkspaceDemand(entry.getKey(), entry.getValue().report(nowNanos)))
        .toList();
  }

  /** Returns this daemon's part of a workspace's entitlement, above 0 and at most 1. */
  public synchronized double share(String workspace) {
    Double known = shares.getIfPresent(workspace);
    double evenPart = 1.0 / Math.max(1, daemonCount.getAsInt());
    return known == null ? evenPart : (1 - EVEN_SHARE_WEIGHT) * known + EVEN_SHARE_WEIGHT * evenPart;
  }

  private double reportedShare(WorkspaceDemand total) {
    DecayingSum sum = ownDemandByWorkspace.getIfPresent(total.workspace());
    double reported = sum == null ? 0 : sum.reportedTokens;
    return Math.min(1, reported / Math.max(NEGLIGIBLE_TOKENS, total.tokens()));
  }

  private static final class DecayingSum {
    private double tokens;
    private double reportedTokens;
    private long updatedAtNanos;

    void add(double added, long nowNanos) {
      tokens = valueAt(nowNanos) + added;
      updatedAtNanos = nowNanos;
    }

    double report(long nowNanos) {
      reportedTokens = valueAt(nowNanos);
      return reportedTokens;
    }

    double valueAt(long nowNanos) {
      return tokens * Math.pow(0.5, (nowNanos - updatedAtNanos) / (double) HALF_LIFE.toNanos());
    }
  }
}
