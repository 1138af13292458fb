package org.galenapost.core.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Follows one kind at the platform. It lists the kind once, then watches it while the assignment
 * requires this daemon to watch. It retries failed calls with backoff and lists the kind again when
 * the platform no longer knows the last revision.
 */
final class KindWatch {

  /** How often a daemon that does not watch checks its assignment; well below one second. */
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
  private final AtomicBoolean isBackingOff = new AtomicBoolean();
  private boolean isPaused;
  private boolean isPollRequested;
  private boolean mustList = true;
  private int failures;

  KindWatch(
      KindClient client,
      ConfigurationHolder state,
      Scheduler scheduler,
      RandomSource random,
      Duration maxBackoff,
      WatchAssignment assignment,
      Runnable onListed,
      Runnable onChanged) {
    this.kind = client.kind();
    this.client = client;
    this.state = state;
    this.scheduler = scheduler;
    this.random = random;
    this.maxBackoff = maxBackoff;
    this.assignment = assignment;
    this.onListed = onListed;
    this.onChanged = onChanged;
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

  /** Returns whether the last call succeeded and this daemon is watching the kind itself. */
  boolean isUpToDate() {
    return isUpToDate;
  }

  /** Queries the platform once, if another daemon currently watches on behalf of this one. */
  void pollOnce() {
    if (isPaused) {
      assignmentCheck.cancel();
      isPollRequested = true;
      listOrWatch();
    }
  }

  /** Ends a backoff, if there is one: its time is over, or the platform answered another call. */
  void retryNow() {
    if (isBackingOff.compareAndSet(true, false)) {
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
        // Retries at once: a hung watch has already used up the time limit for applying a change.
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
    Duration delay = doubled.compareTo(maxBackoff) > 0 ? maxBackoff : doubled;
    failures++;
    isUpToDate = false;
    isBackingOff.set(true);
    scheduler.schedule(random.jitter(delay), this::retryNow);
  }
}
