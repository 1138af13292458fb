package org.galenapost.core.retry;

import org.galenapost.core.verdict.RefusalReason;

/** Is notified of each allowed and refused retry, for metrics. */
public interface RetryListener {

  /** Ignores every event. */
  RetryListener NONE = new RetryListener() {};

  /** Called when a retry is allowed. */
  default void onRetry(RetryReason reason) {}

  /** Called when a retry is refused. */
  default void onRetryRefused(RetryReason reason, RefusalReason refusal) {}
}
