package org.galenapost.standins.platform;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts calls by call kind and object kind. Not safe for threads. */
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
        sum(calls, false),
        sum(calls, true),
        outageCalls,
        rateLimitedCalls,
        droppedResponses,
        calls);
  }

  private static long sum(List<CallCount> calls, boolean isWrite) {
    return calls.stream()
        .filter(callCount -> callCount.call().isWrite() == isWrite)
        .mapToLong(CallCount::count)
        .sum();
  }

  private record CallKey(CallKind call, String kind) {}

  /**
   * The number of calls of one call kind and object kind.
   *
   * @param call the call kind
   * @param kind the object kind, or an empty string for calls without one
   * @param count the number of calls
   */
  record CallCount(CallKind call, String kind, long count) {}

  /**
   * All counts since the last reset; rejected calls are included.
   *
   * @param reads the number of reads; each watch counts once
   * @param writes the number of writes
   * @param outageCalls the number of calls affected by an outage
   * @param rateLimitedCalls the number of calls rejected by a rate limit
   * @param lostAnswers the number of applied writes whose response was dropped
   * @param calls the counts by call kind and object kind
   */
  record Report(
      long reads,
      long writes,
      long outageCalls,
      long rateLimitedCalls,
      long lostAnswers,
      List<CallCount> calls) {}
}
