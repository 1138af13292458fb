package org.galenapost.core.retry;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.galenapost.core.limits.TokenBucket;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Allows a retry when the verdict permits it, the caller still waits, and both the workspace's and
 * the daemon's budget hold enough. Budgets are earned by first attempts, so retries stay a fixed
 * part of the traffic when everything fails at once.
 */
public final class RetryBudgets implements RetryBudget {

  private static final int MAX_WORKSPACES = 10_000;
  private static final double RETRY_COST = 1;

  private final MonotonicClock clock;
  private final RetrySettings settings;
  private final Backoff backoff;
  private final RetryListener listener;
  private final TokenBucket daemonBucket;
  private final LoadingCache<String, TokenBucket> workspaceBuckets;

  /**
   * Creates full budgets.
   *
   * @param clock the clock
   * @param settings the parameters
   * @param random the source of the backoff's jitter
   * @param listener hears of each decision
   */
  public RetryBudgets(
      MonotonicClock clock,
      RetrySettings settings,
      RandomGenerator random,
      RetryListener listener) {
    this.clock = clock;
    this.settings = settings;
    this.backoff = new Backoff(settings.baseBackoff(), settings.maxBackoff(), random);
    this.listener = listener;
    this.daemonBucket = bucket(settings.daemonBurst());
    this.workspaceBuckets =
        Caffeine.newBuilder()
            .maximumSize(MAX_WORKSPACES)
            .executor(Runnable::run)
            .build(workspace -> bucket(settings.workspaceBurst()));
  }

  @Override
  public void onFirstAttempt(String workspace) {
    daemonBucket.add(settings.daemonTokensPerRequest());
    workspaceBuckets.get(workspace).add(settings.tokensPerRequest());
  }

  @Override
  public Either<Refusal, Duration> retry(FailedAttempt attempt) {
    Either<Refusal, Duration> decision = decide(attempt);
    decision
        .peek(pause -> listener.onRetry(attempt.reason()))
        .peekLeft(refusal -> listener.onRetryRefused(attempt.reason(), refusal.reason()));
    return decision;
  }

  private Either<Refusal, Duration> decide(FailedAttempt attempt) {
    if (!attempt.isSafeToRetry()) {
      return refuse(attempt, RefusalReason.SERVER_LOST, "the request may not run a second time");
    }
    if (attempt.number() >= settings.maxAttempts()) {
      return refuse(
          attempt,
          RefusalReason.ATTEMPTS_EXHAUSTED,
          "attempt " + attempt.number() + " of " + settings.maxAttempts() + " failed");
    }
    Duration pause = backoff.afterFailures(attempt.number());
    if (clock.nanos() + pause.toNanos() - attempt.deadlineNanos() >= 0) {
      return refuse(attempt, RefusalReason.DEADLINE_EXCEEDED, "the caller's time has run out");
    }
    return isPaid(attempt.workspace())
        ? Either.right(pause)
        : refuse(attempt, RefusalReason.RETRY_BUDGET_SPENT, "too many requests fail at once")
            .mapLeft(refusal -> refusal.withRetryAfter(timeToRecover(attempt.workspace())));
  }

  private boolean isPaid(String workspace) {
    TokenBucket workspaceBucket = workspaceBuckets.get(workspace);
    if (!workspaceBucket.tryTake(RETRY_COST)) {
      return false;
    }
    if (daemonBucket.tryTake(RETRY_COST)) {
      return true;
    }
    workspaceBucket.add(RETRY_COST);
    return false;
  }

  private Duration timeToRecover(String workspace) {
    Duration ofDaemon = daemonBucket.timeUntil(RETRY_COST);
    Duration ofWorkspace = workspaceBuckets.get(workspace).timeUntil(RETRY_COST);
    Duration longer = ofDaemon.compareTo(ofWorkspace) > 0 ? ofDaemon : ofWorkspace;
    return longer.plus(backoff.afterFailures(settings.maxAttempts()));
  }

  private TokenBucket bucket(double burst) {
    return new TokenBucket(clock, settings.reservePerSecond(), burst);
  }

  private static Either<Refusal, Duration> refuse(
      FailedAttempt attempt, RefusalReason reason, String detail) {
    return Either.left(new Refusal(attempt.verdict(), reason, detail, Optional.empty()));
  }
}
