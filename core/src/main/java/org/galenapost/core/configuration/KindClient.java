package org.galenapost.core.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.PlatformReachability;

/** The calls that follow one kind; they tell whether the platform can be reached. */
final class KindClient {

  private final ConfigurationKind kind;
  private final ObjectStore store;
  private final Duration watchWait;
  private final PlatformReachability reachability;
  private int consecutiveLostAnswers;

  KindClient(ConfigurationKind kind, ObjectStore store, Duration watchWait, PlatformReachability reach) {
    this.kind = kind;
    this.store = store;
    this.watchWait = watchWait;
    this.reachability = reach;
  }

  ConfigurationKind kind() {
    return kind;
  }

  CompletionStage<Either<PlatformError, Listing>> list() {
    return store.list(kind.wireName()).thenApply(this::recordReachability);
  }

  CompletionStage<Either<PlatformError, Changes>> watch(long sinceRevision) {
    return store.watch(kind.wireName(), sinceRevision, watchWait).thenApply(this::recordReachability);
  }

  /** A single answer that is lost proves no outage, since the platform may cut a waiting watch. */
  private synchronized <T> Either<PlatformError, T> recordReachability(Either<PlatformError, T> answer) {
    boolean isLost = answer.isLeft() && answer.getLeft() instanceof PlatformError.AnswerLost;
    boolean isRefused = answer.isLeft() && answer.getLeft() instanceof PlatformError.Unavailable;
    consecutiveLostAnswers = isLost ? consecutiveLostAnswers + 1 : 0;
    if (isRefused || consecutiveLostAnswers > 1) {
      reachability.recordFailure();
    } else if (!isLost) {
      reachability.recordAnswer();
    }
    return answer;
  }
}
