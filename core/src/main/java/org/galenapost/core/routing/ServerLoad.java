package org.galenapost.core.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.galenapost.core.fleet.BackendServer;

/** What this daemon knows of one server's load, speed and failures. */
public final class ServerLoad {

  private static final double SAMPLE_WEIGHT = 0.2;
  private static final double MIN_SUCCESS_RATE = 0.05;
  private static final int REPORT_TOLERANCE = 2;
  private static final int CONTRADICTIONS_TO_DISTRUST = 2;

  private final RoutingSettings settings;
  private final ServerHealth health;
  private BackendServer server;
  private int inFlight;
  private int unanswered;
  private long unansweredSinceSumNanos;
  private double latencyNanos;
  private long latencyAtNanos;
  private boolean isLatencyKnown;
  private double failureRate;
  private long failureAtNanos;
  private Optional<LoadReport> report = Optional.empty();
  private long reportAtNanos;
  private int inFlightAtReport;
  private int contradictions;
  private long distrustedUntilNanos;

  ServerLoad(BackendServer server, RoutingSettings settings, RandomGenerator random) {
    this.server = server;
    this.settings = settings;
    this.health = new ServerHealth(settings, random);
  }

  /** Returns the server. */
  public BackendServer server() {
    return server;
  }

  /** Returns the requests that this daemon has in flight on the server. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the last load report, however old. */
  public Optional<LoadReport> report() {
    return report;
  }

  ServerHealth health() {
    return health;
  }

  void update(BackendServer newServer) {
    server = newServer;
  }

  void started(long nowNanos) {
    inFlight++;
    unanswered++;
    unansweredSinceSumNanos += nowNanos;
  }

  void answered(long startedNanos, Duration latency, long nowNanos) {
    unanswered--;
    unansweredSinceSumNanos -= startedNanos;
    double base = isLatencyKnown ? latencyNanos : latency.toNanos();
    latencyNanos = base + SAMPLE_WEIGHT * (latency.toNanos() - base);
    latencyAtNanos = nowNanos;
    isLatencyKnown = true;
  }

  void unansweredEnded(long startedNanos) {
    unanswered--;
    unansweredSinceSumNanos -= startedNanos;
  }

  void ended() {
    inFlight--;
  }

  void succeeded(long nowNanos) {
    recordOutcome(0, nowNanos);
    health.succeeded(nowNanos);
  }

  boolean failed(long nowNanos) {
    recordOutcome(1, nowNanos);
    return health.failed(nowNanos);
  }

  /**
   * Takes in a report. Its age counts from the moment at which its time stamp was first seen, so
   * that a report which no longer changes grows old although it is still being served.
   */
  void reported(LoadReport newReport, long nowNanos) {
    if (report.map(LoadReport::reportedAt).equals(Optional.of(newReport.reportedAt()))) {
      return;
    }
    int heldThroughout = Math.min(inFlight, inFlightAtReport);
    boolean contradicts = heldThroughout > newReport.outstanding() + REPORT_TOLERANCE;
    contradictions = contradicts ? contradictions + 1 : 0;
    if (contradictions >= CONTRADICTIONS_TO_DISTRUST) {
      distrustedUntilNanos = nowNanos + settings.distrustTime().toNanos();
    }
    report = Optional.of(newReport);
    reportAtNanos = nowNanos;
    inFlightAtReport = inFlight;
  }

  /** Returns the weight of the last report, between 0 and 1. */
  double reportWeight(long nowNanos) {
    if (report.isEmpty() || distrustedUntilNanos - nowNanos > 0) {
      return 0;
    }
    return decayFactor(nowNanos - reportAtNanos, settings.reportHalfLife());
  }

  /** Returns the requests of other daemons that the last report implies. */
  double reportedByOthers() {
    return report.map(last -> Math.max(0, last.outstanding() - inFlightAtReport)).orElse(0);
  }

  /** Returns the requests on the server; other daemons' are guessed where no report is fresh. */
  double outstanding(double guessedOthers, long nowNanos) {
    double weight = reportWeight(nowNanos);
    return inFlight + weight * reportedByOthers() + (1 - weight) * guessedOthers;
  }

  /** Returns the weight of the measured latency, between 0 and 1. */
  double latencyWeight(long nowNanos) {
    return isLatencyKnown ? decayFactor(nowNanos - latencyAtNanos, settings.latencyHalfLife()) : 0;
  }

  double measuredLatencyNanos() {
    return latencyNanos;
  }

  /** Returns the expected time to the first answer, at least the age of what waits for one now. */
  double expectedLatencyNanos(double priorNanos, long nowNanos) {
    double weight = latencyWeight(nowNanos);
    double expected = weight * latencyNanos + (1 - weight) * priorNanos;
    double pending = unanswered == 0 ? 0 : nowNanos - (double) unansweredSinceSumNanos / unanswered;
    return Math.max(expected, pending);
  }

  /** Returns the recent part of requests that did not fail, never quite 0. */
  double successRate(long nowNanos) {
    double aged = failureRate * decayFactor(nowNanos - failureAtNanos, settings.latencyHalfLife());
    return Math.max(MIN_SUCCESS_RATE, 1 - aged);
  }

  private void recordOutcome(int failure, long nowNanos) {
    double aged = 1 - successRate(nowNanos);
    failureRate = aged + SAMPLE_WEIGHT * (failure - aged);
    failureAtNanos = nowNanos;
  }

  private static double decayFactor(long ageNanos, Duration halfLife) {
    return Math.pow(0.5, Math.max(0, ageNanos) / (double) halfLife.toNanos());
  }
}
