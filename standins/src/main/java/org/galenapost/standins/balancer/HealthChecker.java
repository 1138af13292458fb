package org.galenapost.standins.balancer;

import static org.asynchttpclient.Dsl.asyncHttpClient;
import static org.asynchttpclient.Dsl.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.AsyncHttpClient;

/** Checks the readiness of each target periodically. All state is confined to the event loop. */
final class HealthChecker {

  private static final Logger LOG = LogManager.getLogger(HealthChecker.class);
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(1_000);
  private static final int HTTP_OK = 200;

  private final ScheduledExecutorService loop;
  private final Duration interval;
  private final int unhealthyThreshold;
  private final Map<BalancedTarget, Boolean> readyByTarget = new HashMap<>();
  private final Map<BalancedTarget, Integer> consecutiveFailures = new HashMap<>();
  private final AsyncHttpClient client =
      asyncHttpClient(
          config()
              .setConnectTimeout(CHECK_TIMEOUT)
              .setRequestTimeout(CHECK_TIMEOUT)
              .setMaxRequestRetry(0)
              .setIoThreadsCount(1)
              .build());
  private List<BalancedTarget> targets;

  /**
   * Creates a checker.
   *
   * @param loop the event loop that runs the checks and applies their results
   * @param interval the time between two checks of a target
   * @param unhealthyThreshold the number of failed checks in a row after which a ready target
   *     counts as not ready
   * @param targets the targets to check
   */
  HealthChecker(
      ScheduledExecutorService loop,
      Duration interval,
      int unhealthyThreshold,
      List<BalancedTarget> targets) {
    this.loop = loop;
    this.interval = interval;
    this.unhealthyThreshold = unhealthyThreshold;
    this.targets = List.copyOf(targets);
  }

  void start() {
    loop.scheduleAtFixedRate(this::checkAll, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Replaces the targets. A target that stays keeps its state; a new one starts as not ready. */
  void setTargets(List<BalancedTarget> newTargets) {
    targets = List.copyOf(newTargets);
    readyByTarget.keySet().retainAll(targets);
    consecutiveFailures.keySet().retainAll(targets);
  }

  List<BalancedTarget> targets() {
    return targets;
  }

  boolean isReady(BalancedTarget target) {
    return readyByTarget.getOrDefault(target, false);
  }

  /** Returns a modifiable list of the ready targets, in the order of the targets. */
  List<BalancedTarget> readyTargets() {
    return new ArrayList<>(targets.stream().filter(this::isReady).toList());
  }

  private void checkAll() {
    targets.forEach(this::check);
  }

  private void check(BalancedTarget target) {
    client
        .prepareGet(target.healthUrl())
        .execute()
        .toCompletableFuture()
        .handle((response, error) -> error == null && response.getStatusCode() == HTTP_OK)
        .thenAcceptAsync(isPassed -> recordCheck(target, isPassed), loop);
  }

  private void recordCheck(BalancedTarget target, boolean isPassed) {
    if (!targets.contains(target)) {
      return;
    }
    int failures = isPassed ? 0 : consecutiveFailures.getOrDefault(target, 0) + 1;
    consecutiveFailures.put(target, failures);
    boolean isReady = isPassed || (isReady(target) && failures < unhealthyThreshold);
    Boolean wasReady = readyByTarget.put(target, isReady);
    if (wasReady == null || wasReady != isReady) {
      LOG.info("event=target-changed target={} ready={}", target.text(), isReady);
    }
  }
}
