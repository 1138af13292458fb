package org.galenapost.daemon.gateway.run;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.galenapost.core.route.CallKind;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.upstream.SendFailure;

/** The gateway's counters and latency histograms. */
public final class GatewayMeters {

  /** Upper bounds of the histogram buckets, which cover latency targets from 0.1 s to 30 s. */
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(800),
    Duration.ofMillis(1_500),
    Duration.ofMillis(3_000),
    Duration.ofMillis(4_500),
    Duration.ofMillis(10_000),
    Duration.ofMillis(30_000)
  };

  private final MeterRegistry registry;

  /** Creates the meters in a registry. */
  public GatewayMeters(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Counts a send; one with a cause is a retry. */
  void recordSend(String service, Optional<RetryCause> cause) {
    String isRetry = Boolean.toString(cause.isPresent());
    registry.counter("galenapost.gateway.sends", "repeat", isRetry).increment();
    cause.ifPresent(
        retry ->
            registry
                .counter("galenapost.gateway.retries", "service", service, "cause", retry.logName())
                .increment());
  }

  /** Counts a retry that was refused, by what did not allow it. */
  void recordRefusedRetry(String reason) {
    registry.counter("galenapost.gateway.retries.refused", "reason", reason).increment();
  }

  /** Counts a send that a server refused without running the call. */
  void recordServerRefusal(boolean isMisdirected) {
    String reason = isMisdirected ? "other-instance" : "not-run";
    registry.counter("galenapost.gateway.server.refusals", "reason", reason).increment();
  }

  /** Counts a send that got no complete response. */
  void recordLoss(SendFailure failure) {
    registry.counter("galenapost.gateway.losses", "cause", failure.cause().logName()).increment();
  }

  /** Records a resumed stream, with the time from the new send to its first events. */
  void recordResume(boolean isFromCopy, Duration wait) {
    timer("galenapost.gateway.resume", "copy", Boolean.toString(isFromCopy)).record(wait);
  }

  /** Records the end of a call, with the time since its request head was read. */
  void recordCall(CallKind kind, int status, Duration elapsed) {
    String kindName = kind.name().toLowerCase(Locale.ROOT);
    timer("galenapost.gateway.calls", "kind", kindName, "status", Integer.toString(status))
        .record(elapsed);
  }

  /** Counts a stream that a caller resumes, by whether the version that began it is known. */
  void recordTakeUp(String outcome) {
    registry.counter("galenapost.gateway.takeups", "version", outcome).increment();
  }

  /** Counts a send to a server that is expected to hold the beginning of the prompt. */
  void recordHeldPrompt(long savedTokens, boolean isDueToHeldPrompt) {
    if (savedTokens > 0) {
      registry.counter("galenapost.gateway.held.prompt.saved.tokens").increment(savedTokens);
    }
    if (isDueToHeldPrompt) {
      registry.counter("galenapost.gateway.held.prompt.choices").increment();
    }
  }

  /** Counts a refusal by reason and verdict. */
  public void recordRefusal(Refusal refusal) {
    Counter.builder("galenapost.refusals")
        .tag("reason", refusal.reason().wireName())
        .tag("verdict", refusal.verdict().wireName())
        .register(registry)
        .increment();
  }

  private Timer timer(String name, String... tags) {
    return Timer.builder(name).tags(tags).serviceLevelObjectives(BUCKETS).register(registry);
  }
}
