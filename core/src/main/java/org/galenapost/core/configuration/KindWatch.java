package org.galenapost.core.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Follows one kind at the platform: lists it, then watches it while that is the daemon's duty, and
 * starts over after a loss.
 */
final class KindWatch {

  /** How often a daemon that does not watch looks whether it must; well within a second. */
  private static final Duration ASSIGNMENT_CHECK_PERIOD = Duration.ofMillis(250);

  private static final Duration MIN_BACKOFF = Duration.ofMillis(250);
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  private final ConfigurationKind kind;
  private final KindClient client;
  private final ConfigurationHolder state;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final Duration maxBackoff;
  private final WatchAssignment assignment;
  private final Runnable onListed;
  private final Runnable onChanged;
  private volatile boolean isRunning;
  private volatile boolean isUpToDate;
  private Scheduler.Cancellable assignmentCheck = () -> {};
  private boolean isPaused;
  private boolean isPollRequested;
  private boolean mustList = true;
  private int failures;

  KindWatch(
      KindClient calls,
      ConfigurationHolder state,
      Scheduler scheduler,
      RandomSource random,
      Duration maxBackoff,
      WatchAssignment duty,
      Runnable onListed,
      Runnable onNews) {
    this.kind = calls.kind();
    this.client = calls;
    this.state = state;
    this.scheduler = scheduler;
    this.random = random;
    this.maxBackoff = maxBackoff;
    this.assignment = duty;
    this.onListed = onListed;
    this.onChanged = onNews;
  }

  ConfigurationKind kind() {
    return kind;
  }

  void start() {
    isRunning = true;
    listOrWatch();
  }

  void stop() {
    isRunning = false;
  }

  /** Returns whether the latest call was answered and the next one is under way. */
  boolean isUpToDate() {
    return isUpToDate;
  }

  /** Asks the platform once, although others watch for this daemon. */
  void pollOnce() {
    if (isPaused) {
      assignmentCheck.cancel();
      isPollRequested = true;
      listOrWatch();
    }
  }

  private void listOrWatch() {
    if (!isRunning) {
      return;
    }
    boolean isFilled = state.completeRevision(kind) != KindState.NOTHING_SEEN;
    isPaused = isFilled && !assignment.mustWatch() && !isPollRequested;
    isPollRequested = false;
    if (isPaused) {
      isUpToDate = false;
      assignmentCheck = scheduler.schedule(ASSIGNMENT_CHECK_PERIOD, this::listOrWatch);
    } else if (mustList) {
      client.list().thenAccept(this::onListing);
    } else {
      client.watch(state.completeRevision(kind)).thenAccept(this::onChanges);
    }
  }

  private void onListing(Either<PlatformError, Listing> answer) {
    if (answer.isLeft() || answer.get().revision() < state.completeRevision(kind)) {
      retryLater();
      return;
    }
    Listing listing = answer.get();
    List<ConfigurationRecord> records =
        listing.objects().stream().map(o -> ConfigurationRecord.of(kind, o)).toList();
    state.merge(new KindUpdate(kind, 0, listing.revision(), true, records));
    mustList = false;
    failures = 0;
    isUpToDate = true;
    onListed.run();
    listOrWatch();
  }

  private void onChanges(Either<PlatformError, Changes> answer) {
    if (answer.isLeft()) {
      boolean isFirstLoss = failures == 0 && answer.getLeft() instanceof PlatformError.AnswerLost;
      if (isFirstLoss) {
        // A watch that hung has used up the time in which a change has to be in force.
        failures++;
        isUpToDate = false;
        listOrWatch();
      } else {
        retryLater();
      }
      return;
    }
    failures = 0;
    Changes changes = answer.get();
    if (changes.reset()) {
      mustList = true;
      isUpToDate = false;
    } else {
      isUpToDate = true;
      if (state.merge(updateOf(changes)) > 0) {
        onChanged.run();
      }
    }
    scheduler.schedule(assignment.watchPause(), this::listOrWatch);
  }

  private KindUpdate updateOf(Changes changes) {
    List<ConfigurationRecord> records = new ArrayList<>();
    changes.updated().forEach(o -> records.add(ConfigurationRecord.of(kind, o)));
    changes
        .deleted()
        .forEach(
            key -> records.add(ConfigurationRecord.deleted(kind, key.name(), changes.revision())));
    long since = state.completeRevision(kind);
    return new KindUpdate(kind, since, changes.revision(), false, records);
  }

  private void retryLater() {
    Duration doubled = MIN_BACKOFF.multipliedBy(1L << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
    Duration backoff = doubled.compareTo(maxBackoff) > 0 ? maxBackoff : doubled;
    failures++;
    isUpToDate = false;
    scheduler.schedule(random.jitter(backoff), this::listOrWatch);
  }
}
