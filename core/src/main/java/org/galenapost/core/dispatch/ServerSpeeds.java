package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Estimates the prompt tokens that each engine reads per millisecond, from the runs of all daemons
 * of the cell. Recent runs count most. The speed of a server without recent runs is the nominal
 * one; a server that has restarted has another key and is one of these. Not safe for use by several
 * threads.
 */
public final class ServerSpeeds {

  /** The assumed speed of an engine that was not measured lately. */
  public static final double NOMINAL_TOKENS_PER_MS = 8;

  /** A server gets a prompt every few seconds, so that a few of them count at any time. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(8);

  /**
   * The tokens read at nominal speed that are added to each sum, so that the estimate needs a run
   * or two of some thousand tokens to move.
   */
  private static final double PRIOR_TOKENS = 4_000;

  /**
   * Samples are limited to these multiples of the nominal speed. A prompt that the engine still
   * held is read in no time, and a stall of the link is no property of the engine.
   */
  private static final double MAX_SPEED_RATIO = 2;

  private static final double MIN_SPEED_RATIO = 0.125;

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  /** The sums of other daemons that are lighter than this are discarded by the cleanup. */
  private static final double NEGLIGIBLE_TOKENS = 10;

  private static final double NANOS_PER_MS = 1_000_000;

  private final PeerBus bus;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Map<InstanceKey, DecayingSum> own = new HashMap<>();
  private final Map<InstanceKey, Map<String, DecayingSum>> reported = new HashMap<>();
  private final Set<InstanceKey> unreported = new HashSet<>();
  private long sampleCount;
  private boolean isRunning;

  private record DecayingSum(double tokens, double readMs, long atNanos) {

    DecayingSum decayedTo(long nowNanos) {
      double factor = Math.pow(0.5, (double) (nowNanos - atNanos) / HALF_LIFE.toNanos());
      return new DecayingSum(tokens * factor, readMs * factor, nowNanos);
    }

    DecayingSum plus(double addedTokens, double addedMs) {
      return new DecayingSum(tokens + addedTokens, readMs + addedMs, atNanos);
    }
  }

  /**
   * Creates estimates without samples.
   *
   * @param bus the bus to the daemons of the cell
   * @param clock elapsed time
   * @param scheduler runs the periodic report
   */
  public ServerSpeeds(PeerBus bus, MonotonicClock clock, Scheduler scheduler) {
    this.bus = bus;
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /** Starts to exchange reports with the daemons of the cell. */
  public void start() {
    isRunning = true;
    bus.onMessage(ServerSpeedReport.class, this::onReport);
    scheduler.schedule(REPORT_PERIOD, this::report);
  }

  /** Stops the reports. */
  public void stop() {
    isRunning = false;
  }

  /**
   * Records the first event of a run.
   *
   * @param server the server
   * @param ahead the use of the server when the run was sent, without the run itself
   * @param promptTokens the prompt tokens of the run that the server had to read; a run without any
   *     is no sample
   * @param elapsed the time from the send to the first event
   */
  public void onFirstEvent(
      InstanceKey server, ServerUse ahead, long promptTokens, Duration elapsed) {
    if (promptTokens <= 0) {
      return;
    }
    double tokens = Math.max(0, ahead.unreadTokens()) + (double) promptTokens;
    double readMs =
        elapsed.toNanos() / NANOS_PER_MS - ahead.calls() * EngineWait.RUNNING_CALL_PENALTY_MS;
    double nominalMs = tokens / NOMINAL_TOKENS_PER_MS;
    double limitedMs =
        Math.min(nominalMs / MIN_SPEED_RATIO, Math.max(nominalMs / MAX_SPEED_RATIO, readMs));
    long nowNanos = clock.nanos();
    DecayingSum sum = own.getOrDefault(server, new DecayingSum(0, 0, nowNanos));
    own.put(server, sum.decayedTo(nowNanos).plus(tokens, limitedMs));
    unreported.add(server);
    sampleCount++;
  }

  /** Returns the estimated speed of a server, in prompt tokens per millisecond. */
  public double tokensPerMs(InstanceKey server) {
    long nowNanos = clock.nanos();
    double tokens = PRIOR_TOKENS;
    double readMs = PRIOR_TOKENS / NOMINAL_TOKENS_PER_MS;
    DecayingSum ownSum = own.get(server);
    if (ownSum != null) {
      DecayingSum current = ownSum.decayedTo(nowNanos);
      tokens += current.tokens();
      readMs += current.readMs();
    }
    for (DecayingSum sum : reported.getOrDefault(server, Map.of()).values()) {
      DecayingSum current = sum.decayedTo(nowNanos);
      tokens += current.tokens();
      readMs += current.readMs();
    }
    return tokens / readMs;
  }

  /**
   * Returns the average speed of the servers that were measured lately, in prompt tokens per
   * millisecond.
   */
  public double averageTokensPerMs() {
    long nowNanos = clock.nanos();
    double tokens = PRIOR_TOKENS;
    double readMs = PRIOR_TOKENS / NOMINAL_TOKENS_PER_MS;
    for (DecayingSum sum : own.values()) {
      DecayingSum current = sum.decayedTo(nowNanos);
      tokens += current.tokens();
      readMs += current.readMs();
    }
    return tokens / readMs;
  }

  private void report() {
    if (!isRunning) {
      return;
    }
    if (!unreported.isEmpty()) {
      long nowNanos = clock.nanos();
      List<ServerSpeedReport.Sum> sums =
          unreported.stream()
              .map(server -> sumOf(server, own.get(server).decayedTo(nowNanos)))
              .toList();
      unreported.clear();
      bus.broadcast(new ServerSpeedReport(sums));
    }
    scheduler.schedule(REPORT_PERIOD, this::report);
  }

  private static ServerSpeedReport.Sum sumOf(InstanceKey server, DecayingSum sum) {
    return new ServerSpeedReport.Sum(server, sum.tokens(), sum.readMs());
  }

  private void onReport(String sender, ServerSpeedReport report) {
    long nowNanos = clock.nanos();
    for (ServerSpeedReport.Sum sum : report.sums()) {
      if (sum.tokens() > 0 && sum.readMs() > 0) {
        reported
            .computeIfAbsent(sum.server(), key -> new HashMap<>())
            .put(sender, new DecayingSum(sum.tokens(), sum.readMs(), nowNanos));
      }
    }
  }

  /** Removes the state of all servers except the given ones, and reports that are too old. */
  public void retainOnly(Set<InstanceKey> servers) {
    own.keySet().retainAll(servers);
    unreported.retainAll(servers);
    reported.keySet().retainAll(servers);
    long nowNanos = clock.nanos();
    reported
        .values()
        .forEach(
            sums ->
                sums.values()
                    .removeIf(sum -> sum.decayedTo(nowNanos).tokens() < NEGLIGIBLE_TOKENS));
  }

  /** Returns the number of first events that this daemon measured, for the metrics. */
  public long sampleCount() {
    return sampleCount;
  }

  /**
   * Returns the lowest estimate of the servers with own samples, in tokens per second, for the
   * metrics.
   */
  public long lowestTokensPerS() {
    return Math.round(
        1_000
            * own.keySet().stream()
                .mapToDouble(this::tokensPerMs)
                .min()
                .orElse(NOMINAL_TOKENS_PER_MS));
  }
}
