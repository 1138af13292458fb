/**
 * Retry budgets and backoff. The package decides whether and when a failed attempt is retried, and
 * charges the retry to the workspace and the daemon. It depends on limits, time and verdicts.
 */
package org.galenapost.core.retry;
