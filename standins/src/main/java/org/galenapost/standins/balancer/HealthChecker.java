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

/** Asks each target again and again whether it is ready. Its state belongs to the event loop. */
final class HealthChecker {

  private static final Logger LOG = LogManager.getLogger(HealthChecker.class);
  private static final Duration TIMEOUT = Duration.ofMillis(1_000);
  private static final int OK = 200;

  private final ScheduledExecutorService loop;
  private final Duration interval;
  private final int unhealthyThreshold;
  private final Map<BalancedTarget, Boolean> readyByTarget = new HashMap<>();
  private final Map<BalancedTarget, Integer> consecutiveFailures = new HashMap<>();
  private final AsyncHttpClient client =
      asyncHttpClient(
          config()
              .setConnectTimeout(TIMEOUT)
              .setRequestTimeout(TIMEOUT)
              .setMaxRequestRetry(0)
              .setIoThreadsCount(1)
              .build());
  private List<BalancedTarget> targets;

  /**
   * Creates a checker.
   *
   * @param loop runs everything
   * @param interval the time between two questions to a target
   * @param missesToLeave how many questions in a row must fail before a target counts as not ready
   * @param targets the targets
   */
  HealthChecker(
      ScheduledExecutorService loop,
      Duration interval,
      int missesToLeave,
      List<BalancedTarget> targets) {
    this.loop = loop;
    this.interval = interval;
    this.unhealthyThreshold = missesToLeave;
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

  /** Returns the ready targets in their order. */
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
        .handle((response, failure) -> failure == null && response.getStatusCode() == OK)
        .thenAcceptAsync(isReady -> recordCheck(target, isReady), loop);
  }

  private void recordCheck(BalancedTarget target, boolean isAnsweredWell) {
    if (!targets.contains(target)) {
      return;
    }
    int missed = isAnsweredWell ? 0 : consecutiveFailures.getOrDefault(target, 0) + 1;
    consecutiveFailures.put(target, missed);
    boolean isReady = isAnsweredWell || (isReady(target) && missed < unhealthyThreshold);
    Boolean before = readyByTarget.put(target, isReady);
    if (before == null || before != isReady) {
      LOG.info("event=target-changed target={} ready={}", target.text(), isReady);
    }
  }
}
