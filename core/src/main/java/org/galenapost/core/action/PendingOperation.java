package org.galenapost.core.action;

import java.util.concurrent.CompletableFuture;

/**
 * An operation that waits for its write.
 *
 * @param operation the operation
 * @param submittedNanos when it was submitted, as a reading of the monotonic clock
 * @param result completed once the result is certain, or given up on
 */
record PendingOperation(
    ClaimOperation operation, long submittedNanos, CompletableFuture<ClaimResult> result) {

  /** Returns whether a caller waits for the result. */
  boolean hasWaitingCaller() {
    return operation instanceof ClaimOperation.Acquire
        || operation instanceof ClaimOperation.SettleRan
        || operation instanceof ClaimOperation.SettleNotRun;
  }
}
