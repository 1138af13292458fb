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

/** The metrics of the daemon, which the operator listener exposes in the Prometheus text format. */
public final class DaemonMetrics {

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Creates the registry with a gauge of dropped log lines. */
  public DaemonMetrics() {
    registerGauge("galenapost.log.dropped", DroppedLines::count);
  }

  /** Counts a refusal by its reason and verdict. */
  public void recordRefusal(Refusal refusal) {
    Counter.builder("galenapost.refusals")
        .tag("reason", refusal.reason().wireName())
        .tag("verdict", refusal.verdict().wireName())
        .register(registry)
        .increment();
  }

  /**
   * Counts a connection that was closed because the listener reached its connection limit.
   *
   * @param role the role of the listener, such as {@code caller}
   */
  public void recordRefusedConnection(String role) {
    registry.counter("galenapost.connections.refused", "role", role).increment();
  }

  /**
   * Counts a retry.
   *
   * @param reason the reason for the retry, in lower case with hyphens
   */
  public void recordRetry(String reason) {
    registry.counter("galenapost.retries", "reason", reason).increment();
  }

  /**
   * Records a completed request.
   *
   * @param target the kind of target, as in the metric tag {@code target}
   * @param httpStatus the HTTP status of the response
   * @param elapsed the duration of the request
   */
  public void recordRequest(String target, int httpStatus, Duration elapsed) {
    Timer.builder("galenapost.requests")
        .tag("target", target)
        .tag("status", Integer.toString(httpStatus))
        .register(registry)
        .record(elapsed);
  }

  /** Registers a gauge whose value is read on each scrape. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Returns the registry, for components that register their own meters. */
  public MeterRegistry registry() {
    return registry;
  }

  /** Returns the values of all meters in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }
}
