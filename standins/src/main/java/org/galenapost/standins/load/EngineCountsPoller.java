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
 * Polls the counters of the engines and adds them up across engine restarts. Work after the last
 * reading before a crash is lost, so the counters are polled at a short interval. Thread-safe.
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

  /** Reads the counters of all engines once. */
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
      seriesByAddress.merge(
          address, Series.startingAt(counts), (series, first) -> series.withReading(counts));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("expected the counters of engine " + address + " as JSON", e);
    }
  }

  /** Returns the work of all engines since the first reading. */
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
   * One reading of the counters of an engine. A restart resets them to 0.
   *
   * @param tokensGenerated tokens generated
   * @param prefillTokens prefix tokens processed by prefill
   * @param cachedTokens prefix tokens served from the cache
   * @param cancelled cancelled attempts
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

  /**
   * The counters of one engine across restarts.
   *
   * @param base the sum over the previous processes, minus the first reading
   * @param last the last reading
   */
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
