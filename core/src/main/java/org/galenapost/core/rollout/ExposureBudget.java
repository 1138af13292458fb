package org.galenapost.core.rollout;

import org.galenapost.core.time.RandomSource;

/**
 * Bounds what one daemon sends to a version on trial by its own requests: it has sent no more than
 * {@code floor(share * requests + offset)}, with a random offset from 0 to 1. The bounds of all
 * daemons and of all their restarts add up to the share of all requests, plus rounding errors whose
 * mean is 0. By Hoeffding's inequality the errors of n daemons add up to more than a slack t with a
 * probability of at most exp(-2 t^2 / n): below 1e-14 for 150 daemons and a slack of 50. So no
 * daemon needs to know what others have sent.
 */
final class ExposureBudget {

  private final double share;
  private final double offset;
  private long requests;
  private long sends;

  /**
   * Creates a budget.
   *
   * @param share the share of requests that may go to the version
   * @param random chooses the offset
   */
  ExposureBudget(double share, RandomSource random) {
    this.share = share;
    this.offset = random.nextDouble();
  }

  /** Counts a request to the service; a repeated send of the same request is not counted again. */
  void recordRequest() {
    requests++;
  }

  /** Returns whether another send to the version is within the bound. */
  boolean hasRoom() {
    return sends + 1 <= share * requests + offset;
  }

  /** Counts a send to the version. */
  void recordSend() {
    sends++;
  }

  double share() {
    return share;
  }
}
