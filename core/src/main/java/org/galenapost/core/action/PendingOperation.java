package org.galenapost.core.action;

import java.util.concurrent.CompletableFuture;

/**
 * An operation waiting to be written.
 *
 * @param operation the operation
 * @param submittedNanos the submission time on the monotonic clock, in nanoseconds
 * @param result completed with the result, at the latest when retries end
 */
record PendingOperation(
    ClaimOperation operation, long submittedNanos, CompletableFuture<ClaimResult> result) {

  /** Returns whether a caller is waiting for the result. */
  boolean hasWaitingCaller() {
    return operation instanceof ClaimOperation.Acquire
        || operation instanceof ClaimOperation.SettleRan
        || operation instanceof ClaimOperation.SettleNotRun;
  }
}
