package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.time.MonotonicClock;

/**
 * Says which daemons watch the platform. In a small fleet every one does. In a large one the
 * daemons of a cell leave it to two of them, which tell the others at once that something is new
 * and now and then that nothing is; a daemon that hears from neither for a while watches for
 * itself. What is small a daemon that lags gets from the one that told it; a large object it
 * fetches from the platform, so that no daemon has to send it to its whole cell. Used by one
 * thread.
 */
public final class WatchAssignment {

  /** How often watchers say that they are up to date. */
  static final Duration REPORT_PERIOD = Duration.ofMillis(500);

  /** Three reports missed; leaves a second for a watch of one's own before a change is due. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

  private static final int WATCHERS_PER_CELL = 2;
  private static final String RENDEZVOUS_KEY = "watching";

  /** A change may be due after two seconds, of which a shared watch may use a fifth. */
  private static final Duration SHARED_WATCH_PAUSE = Duration.ofMillis(400);

  private static final Duration WATCH_PAUSE = Duration.ofMillis(100);

  private static final WatchAssignment ALWAYS =
      new WatchAssignment("", Set.of(), Set.of(), Set::of, () -> 0, mustWatch -> {});

  private final String selfId;
  private final Set<ConfigurationKind> sharedKinds;
  private final Set<ConfigurationKind> largeKinds;
  private final Supplier<Set<String>> sharingPeerIds;
  private final MonotonicClock clock;
  private final Consumer<Boolean> onChange;
  private Set<String> knownSharingPeerIds = Set.of();
  private boolean isWatcher = true;
  private boolean isWatching = true;
  private long lastReportNanos;

  /**
   * Creates a duty.
   *
   * @param selfId this daemon
   * @param sharedKinds the kinds whose watching is shared; every daemon watches the others
   * @param largeKinds those of them whose objects are large
   * @param sharers the other daemons that share the watching, none if each watches for itself
   * @param clock elapsed time
   * @param onChange told whether this daemon watches, each time that changes
   */
  public WatchAssignment(
      String selfId,
      Set<ConfigurationKind> sharedKinds,
      Set<ConfigurationKind> largeKinds,
      Supplier<Set<String>> sharers,
      MonotonicClock clock,
      Consumer<Boolean> onChange) {
    this.onChange = onChange;
    this.selfId = selfId;
    this.sharedKinds = Set.copyOf(sharedKinds);
    this.largeKinds = Set.copyOf(largeKinds);
    this.sharingPeerIds = sharers;
    this.clock = clock;
    this.lastReportNanos = clock.nanos() - REPORT_TIMEOUT.toNanos();
  }

  /** Returns the duty of a daemon that always watches for itself. */
  public static WatchAssignment always() {
    return ALWAYS;
  }

  /** Returns the duty for one kind. */
  WatchAssignment forKind(ConfigurationKind kind) {
    return isShared(kind) ? this : ALWAYS;
  }

  boolean isLarge(ConfigurationKind kind) {
    return largeKinds.contains(kind);
  }

  boolean isShared(ConfigurationKind kind) {
    return sharedKinds.contains(kind);
  }

  /** Records the report of a daemon that watches. */
  public void onReport() {
    lastReportNanos = clock.nanos();
  }

  /** Returns whether this daemon has to watch now. */
  public boolean mustWatch() {
    refresh();
    boolean mustWatch = isWatcher || clock.since(lastReportNanos).compareTo(REPORT_TIMEOUT) >= 0;
    if (mustWatch != isWatching) {
      isWatching = mustWatch;
      onChange.accept(mustWatch);
    }
    return mustWatch;
  }

  /** Returns the daemons that this one reports to. */
  public List<String> reportRecipients() {
    refresh();
    return isWatcher ? List.copyOf(knownSharingPeerIds) : List.of();
  }

  /** Returns the pause between two watches. */
  Duration watchPause() {
    refresh();
    return knownSharingPeerIds.isEmpty() ? WATCH_PAUSE : SHARED_WATCH_PAUSE;
  }

  private void refresh() {
    Set<String> now = sharingPeerIds.get();
    if (now.equals(knownSharingPeerIds)) {
      return;
    }
    knownSharingPeerIds = Set.copyOf(now);
    List<String> all = new ArrayList<>(now);
    all.add(selfId);
    isWatcher =
        Rendezvous.rank(RENDEZVOUS_KEY, all, id -> id).stream()
            .limit(WATCHERS_PER_CELL)
            .anyMatch(selfId::equals);
  }
}
