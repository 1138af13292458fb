package org.galenapost.standins.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Collects the results of one class of requests. Thread-safe. */
final class ClassResults {

  private final RequestClass requestClass;
  private final long warmUpNanos;
  private final Latencies warmUp;
  private final Latencies measured;
  private final Map<RefusalKey, Long> refusals = new TreeMap<>();
  private long sent;
  private long completed;
  private long late;
  private long broken;
  private long refused;
  private long reconnects;
  private long newGenerations;
  private long mismatches;
  private long duplicates;
  private long tokensDelivered;

  ClassResults(RequestClass requestClass, Workload workload) {
    this.requestClass = requestClass;
    this.warmUpNanos = TimeUnit.MILLISECONDS.toNanos(workload.warmUpMs());
    this.warmUp = new Latencies(workload.interruptionMs());
    this.measured = new Latencies(workload.interruptionMs());
  }

  /** Returns the recorder for a request; latencies of warm-up requests are not reported. */
  Latencies latencies(Arrival arrival) {
    return arrival.atNanos() < warmUpNanos ? warmUp : measured;
  }

  synchronized void recordSent() {
    sent++;
  }

  synchronized void recordDeliveredToken() {
    tokensDelivered++;
  }

  synchronized void recordReconnect() {
    reconnects++;
  }

  synchronized void recordNewGeneration() {
    newGenerations++;
  }

  synchronized void recordVerification(AnswerVerifier verifier) {
    mismatches += verifier.mismatches();
    duplicates += verifier.duplicates();
  }

  synchronized void recordCompleted(long latencyNanos) {
    completed++;
    long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMs());
    late += deadlineNanos > 0 && latencyNanos > deadlineNanos ? 1 : 0;
  }

  synchronized void recordRefused(Problem problem) {
    refused++;
    refusals.merge(new RefusalKey(problem.reason(), problem.verdict()), 1L, Long::sum);
  }

  synchronized void recordBroken() {
    broken++;
  }

  List<Sample> samples() {
    return measured.samples();
  }

  synchronized ClassReport report() {
    List<Refusals> reasons =
        refusals.entrySet().stream()
            .map(e -> new Refusals(e.getKey().reason(), e.getKey().verdict(), e.getValue()))
            .toList();
    return new ClassReport(
        requestClass.name(),
        requestClass.workspace(),
        new ClassReport.Outcomes(
            sent, completed, late, refused, broken, sent - completed - refused - broken),
        new ClassReport.Integrity(mismatches, duplicates, reconnects, newGenerations),
        tokensDelivered,
        reasons,
        measured.summary());
  }

  private record RefusalKey(String reason, String verdict) implements Comparable<RefusalKey> {

    private static final Comparator<RefusalKey> ORDER =
        Comparator.comparing(RefusalKey::reason).thenComparing(RefusalKey::verdict);

    @Override
    public int compareTo(RefusalKey other) {
      return ORDER.compare(this, other);
    }
  }
}
