package org.galenapost.standins.platform;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts calls by kind of call and kind of object. Not safe for threads. */
final class CallCounts {

  private final Map<CallKey, Long> countByCall = new HashMap<>();
  private long outageCalls;
  private long rateLimitedCalls;
  private long droppedResponses;

  void count(CallKind call, String objectKind) {
    countByCall.merge(new CallKey(call, objectKind), 1L, Long::sum);
  }

  void countOutageCall() {
    outageCalls++;
  }

  void countRateLimitedCall() {
    rateLimitedCalls++;
  }

  void countDroppedResponse() {
    droppedResponses++;
  }

  void reset() {
    countByCall.clear();
    outageCalls = 0;
    rateLimitedCalls = 0;
    droppedResponses = 0;
  }

  Report report() {
    List<CallCount> calls =
        countByCall.entrySet().stream()
            .map(entry -> new CallCount(entry.getKey().call, entry.getKey().kind, entry.getValue()))
            .sorted(Comparator.comparing(CallCount::call).thenComparing(CallCount::kind))
            .toList();
    return new Report(
        sum(calls, false), sum(calls, true), outageCalls, rateLimitedCalls, droppedResponses, calls);
  }

  private static long sum(List<CallCount> calls, boolean isWrite) {
    return calls.stream()
        .filter(line -> line.call().isWrite() == isWrite)
        .mapToLong(CallCount::count)
        .sum();
  }

  private record CallKey(CallKind call, String kind) {}

  /**
   * The number of calls of one sort.
   *
   * @param call the kind of call
   * @param kind the kind of object
   * @param count how many calls came
   */
  record CallCount(CallKind call, String kind, long count) {}

  /**
   * All counts since the last reset; calls that were refused count as well.
   *
   * @param reads calls that read, each watch counted once
   * @param writes calls that write
   * @param outageCalls calls that met an outage
   * @param rateLimitedCalls calls refused over the rate
   * @param lostAnswers writes that took effect without an answer
   * @param calls the counts by sort
   */
  record Report(
      long reads,
      long writes,
      long outageCalls,
      long rateLimitedCalls,
      long lostAnswers,
      List<CallCount> calls) {}
}
