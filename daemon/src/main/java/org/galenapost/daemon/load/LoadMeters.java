package org.galenapost.daemon.load;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import org.galenapost.core.admission.AdmissionListener;
import org.galenapost.core.admission.AdmissionRequest;
import org.galenapost.core.retry.RetryListener;
import org.galenapost.core.retry.RetryReason;
import org.galenapost.core.routing.RoutingListener;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.metrics.DaemonMetrics;

/** Counts what routing, admission and retries decide. */
public final class LoadMeters implements RoutingListener, AdmissionListener, RetryListener {

  private static final EventLog LOG = EventLog.of(LoadMeters.class);

  private final DaemonMetrics metrics;
  private final MeterRegistry registry;

  /** Counts in the daemon's metrics. */
  public LoadMeters(DaemonMetrics metrics) {
    this.metrics = metrics;
    this.registry = metrics.registry();
  }

  @Override
  public void onEjected(String serverId) {
    registry.counter("galenapost.routing.ejections", "server", serverId).increment();
    LOG.warn("server_ejected").with("server", serverId).write();
  }

  @Override
  public void onAvailableFloorApplied(String target) {
    registry.counter("galenapost.routing.floor.held").increment();
  }

  @Override
  public void onRemoteDataCentreUsed(String serverId) {
    registry.counter("galenapost.routing.neighbour.used").increment();
  }

  @Override
  public void onAdmitted(AdmissionRequest request, Duration waited) {
    Timer.builder("galenapost.admission.wait")
        .tag("urgency", request.urgency().name().toLowerCase(Locale.ROOT))
        .register(registry)
        .record(waited);
  }

  @Override
  public void onRefused(AdmissionRequest request, RefusalReason reason) {
    registry
        .counter(
            "galenapost.admission.refusals",
            "workspace",
            request.workspace(),
            "reason",
            reason.wireName())
        .increment();
  }

  @Override
  public void onRetry(RetryReason reason) {
    metrics.recordRetry(reason.wireName());
  }

  @Override
  public void onRetryRefused(RetryReason reason, RefusalReason refusal) {
    registry
        .counter(
            "galenapost.retries.refused",
            "reason",
            reason.wireName(),
            "refusal",
            refusal.wireName())
        .increment();
  }
}
