package org.galenapost.standins.load;

import java.util.List;

/**
 * The results of one class of requests.
 *
 * @param name the name of the class
 * @param workspace the name of the workspace
 * @param outcomes the number of requests by outcome
 * @param integrity the deviations from the expected answers
 * @param tokensDelivered the number of correct tokens received by callers
 * @param refusals the number of refusals by reason and verdict
 * @param latencies the latency percentiles
 */
public record ClassReport(
    String name,
    String workspace,
    Outcomes outcomes,
    Integrity integrity,
    long tokensDelivered,
    List<Refusals> refusals,
    Latencies.Summary latencies) {

  /**
   * The number of requests by outcome.
   *
   * @param sent requests sent; an action that is sent several times counts once
   * @param completed complete and correct answers, or calls that ran
   * @param late completed requests whose answer missed the deadline
   * @param refused requests refused with a problem document or an error event
   * @param broken requests that ended without a complete and correct answer
   * @param unfinished requests still in flight at the end of the run
   */
  public record Outcomes(
      long sent, long completed, long late, long refused, long broken, long unfinished) {}

  /**
   * The deviations of streamed answers from the expected text.
   *
   * @param mismatches wrong or missing tokens and wrong ends of answers
   * @param duplicates tokens received more than once
   * @param reconnects reconnects after a broken connection
   * @param newGenerations announced restarts of an answer at offset 0
   */
  public record Integrity(long mismatches, long duplicates, long reconnects, long newGenerations) {}
}
