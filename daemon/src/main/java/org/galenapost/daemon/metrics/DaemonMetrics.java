package org.galenapost.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.log.DroppedLines;

/** Counts what the daemon does; the operator port shows it as Prometheus text. */
public final class DaemonMetrics {

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Creates meters, with one of the log lines dropped. */
  public DaemonMetrics() {
    registerGauge("galenapost.log.dropped", DroppedLines::count);
  }

  /** Counts a refusal under its reason and verdict. */
  public void recordRefusal(Refusal refusal) {
    Counter.builder("galenapost.refusals")
        .tag("reason", refusal.reason().wireName())
        .tag("verdict", refusal.verdict().wireName())
        .register(registry)
        .increment();
  }

  /**
   * Counts a connection that was closed at once because too many are open.
   *
   * @param role the listener, such as {@code caller}
   */
  public void recordRefusedConnection(String role) {
    registry.counter("galenapost.connections.refused", "role", role).increment();
  }

  /**
   * Counts a retry.
   *
   * @param reason why the request was tried again, in lower case with hyphens
   */
  public void recordRetry(String reason) {
    registry.counter("galenapost.retries", "reason", reason).increment();
  }

  /** Counts a request that ended, with the time that it took. */
  public void recordRequest(String target, int httpStatus, Duration elapsed) {
    Timer.builder("galenapost.requests")
        .tag("target", target)
        .tag("status", Integer.toString(httpStatus))
        .register(registry)
        .record(elapsed);
  }

  /** Shows a value that is read whenever metrics are scraped. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Returns the registry, for parts that keep their own meters. */
  public MeterRegistry registry() {
    return registry;
  }

  /** Returns all meters in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
