package org.galenapost.daemon.generation;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.galenapost.core.generation.AttemptEndReason;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.recovery.StartCause;

/** Counts what happens to generations. */
public final class GenerationMetrics implements GenerationObserver {

  private static final String PREFIX = "galenapost.generation.";

  private final MeterRegistry registry;
  private final Counter attached;
  private final Counter fenced;
  private final Counter probes;
  private final Counter diverged;
  private final Timer resumeLatency;

  /** Creates the meters. */
  public GenerationMetrics(MeterRegistry registry) {
    this.registry = registry;
    this.attached = registry.counter(PREFIX + "attaches");
    this.fenced = registry.counter(PREFIX + "fenced.chunks");
    this.probes = registry.counter(PREFIX + "probes");
    this.diverged = registry.counter(PREFIX + "diverged");
    this.resumeLatency = registry.timer(PREFIX + "resume.latency");
  }

  @Override
  public void onStart(StartCause cause) {
    registry.counter(PREFIX + "attempts", "cause", cause.wireName()).increment();
  }

  @Override
  public void onAttach() {
    attached.increment();
  }

  @Override
  public void onLoss(LossReason reason) {
    registry.counter(PREFIX + "losses", "reason", reason.wireName()).increment();
  }

  @Override
  public void onInvalidChunk(AttemptEndReason reason) {
    registry.counter(PREFIX + "misfits", "reason", reason.wireName()).increment();
  }

  @Override
  public void onFencedChunk() {
    fenced.increment();
  }

  @Override
  public void onProbe() {
    probes.increment();
  }

  @Override
  public void onResumed(Duration silence) {
    resumeLatency.record(silence);
  }

  @Override
  public void onDiverged() {
    diverged.increment();
  }
}
