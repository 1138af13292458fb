package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.asynchttpclient.Response;
import org.galenapost.standins.json.Json;
import org.galenapost.standins.load.LoadReport.EngineWork;

/**
 * Adds up the engines' counts, read again and again so that little is lost when an engine dies.
 * Safe for threads.
 */
final class EngineCountsPoller {

  private static final int OK = 200;

  private final LoadClient client;
  private final List<String> addresses;
  private final Map<String, Series> seriesByAddress = new HashMap<>();

  EngineCountsPoller(LoadClient client, List<String> addresses) {
    this.client = client;
    this.addresses = addresses;
  }

  /** Reads all counts once. */
  CompletableFuture<Void> poll() {
    return CompletableFuture.allOf(
        addresses.stream().map(this::poll).toArray(CompletableFuture<?>[]::new));
  }

  private CompletableFuture<Void> poll(String address) {
    return client
        .fetch("http://" + address + "/standin/counts")
        .handle(
            (response, failure) -> {
              if (failure == null && response.getStatusCode() == OK) {
                record(address, response);
              }
              return null;
            });
  }

  private synchronized void record(String address, Response response) {
    try {
      Counts counts = Json.read(response.getResponseBody(), Counts.class);
      seriesByAddress.merge(address, Series.startingAt(counts), (old, fresh) -> old.withReading(counts));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("engine " + address + " sent no counts", e);
    }
  }

  /** Returns the work since the first reading. */
  synchronized EngineWork work(long tokensDelivered) {
    long generated = sum(Counts::tokensGenerated);
    long prefill = sum(Counts::prefillTokens);
    long cached = sum(Counts::cachedTokens);
    double extraUse = tokensDelivered == 0 ? 0 : (double) generated / tokensDelivered - 1;
    double hitRate = prefill + cached == 0 ? 0 : (double) cached / (prefill + cached);
    return new EngineWork(
        generated, tokensDelivered, extraUse, prefill, hitRate, sum(Counts::cancelled));
  }

  private long sum(ToLongFunction<Counts> count) {
    return seriesByAddress.values().stream().mapToLong(series -> series.total(count)).sum();
  }

  /**
   * The counts of one engine at one moment.
   *
   * @param tokensGenerated tokens computed
   * @param prefillTokens prefix tokens read
   * @param cachedTokens prefix tokens that were cached
   * @param cancelled attempts cancelled
   */
  record Counts(long tokensGenerated, long prefillTokens, long cachedTokens, long cancelled) {

    private static final Counts ZERO = new Counts(0, 0, 0, 0);

    private Counts plus(Counts other, int sign) {
      return new Counts(
          tokensGenerated + sign * other.tokensGenerated,
          prefillTokens + sign * other.prefillTokens,
          cachedTokens + sign * other.cachedTokens,
          cancelled + sign * other.cancelled);
    }

    private boolean isLowerThan(Counts other) {
      return tokensGenerated < other.tokensGenerated || prefillTokens < other.prefillTokens;
    }
  }

  /** The counts of one engine over its restarts. */
  private record Series(Counts base, Counts last) {

    private static Series startingAt(Counts first) {
      return new Series(Counts.ZERO.plus(first, -1), first);
    }

    private Series withReading(Counts counts) {
      return counts.isLowerThan(last)
          ? new Series(base.plus(last, 1), counts)
          : new Series(base, counts);
    }

    private long total(ToLongFunction<Counts> count) {
      return count.applyAsLong(base) + count.applyAsLong(last);
    }
  }
}
