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
 * Decides whether this daemon watches the platform. In a small fleet every daemon does. In a large
 * fleet two daemons of each cell watch. These watchers report every change at once and also send
 * periodic reports. A daemon that receives no report before the timeout watches the platform
 * itself.
 *
 * <p>A daemon that lags behind a report pulls small objects from the sender. It fetches large
 * objects from the platform, so that no watcher has to send them to its whole cell. Not
 * thread-safe.
 */
public final class WatchAssignment {

  /** The period of the watchers' reports. */
  static final Duration REPORT_PERIOD = Duration.ofMillis(500);

  /** Covers three missed reports. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

  private static final int WATCHERS_PER_CELL = 2;
  private static final String RENDEZVOUS_KEY = "watching";

  /**
   * Groups the changes of a busy moment. A cell has two watchers, so that on average it learns of a
   * change within half of this time; alone, one still leaves more than a second to apply it.
   */
  private static final Duration SHARED_WATCH_PAUSE = Duration.ofMillis(800);

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
   * Creates an assignment.
   *
   * @param selfId the id of this daemon
   * @param sharedKinds the kinds that the watchers watch for the cell; every daemon watches all
   *     others
   * @param largeKinds the shared kinds whose objects are large
   * @param sharingPeerIds supplies the ids of the peers that share watches, empty if each daemon
   *     watches
   * @param clock measures the time since the last report
   * @param onChange called with whether this daemon watches, each time that changes
   */
  public WatchAssignment(
      String selfId,
      Set<ConfigurationKind> sharedKinds,
      Set<ConfigurationKind> largeKinds,
      Supplier<Set<String>> sharingPeerIds,
      MonotonicClock clock,
      Consumer<Boolean> onChange) {
    this.onChange = onChange;
    this.selfId = selfId;
    this.sharedKinds = Set.copyOf(sharedKinds);
    this.largeKinds = Set.copyOf(largeKinds);
    this.sharingPeerIds = sharingPeerIds;
    this.clock = clock;
    this.lastReportNanos = clock.nanos() - REPORT_TIMEOUT.toNanos();
  }

  /** Returns the assignment of a daemon that always watches every kind. */
  public static WatchAssignment always() {
    return ALWAYS;
  }

  /** Returns the assignment for one kind: this one if the kind is shared, else to always watch. */
  WatchAssignment forKind(ConfigurationKind kind) {
    return isShared(kind) ? this : ALWAYS;
  }

  boolean isLarge(ConfigurationKind kind) {
    return largeKinds.contains(kind);
  }

  boolean isShared(ConfigurationKind kind) {
    return sharedKinds.contains(kind);
  }

  /** Records that a watcher's report arrived. */
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

  /** Returns the ids of the daemons that this daemon reports to; empty if it is no watcher. */
  public List<String> reportRecipients() {
    refresh();
    return isWatcher ? List.copyOf(knownSharingPeerIds) : List.of();
  }

  /** Returns the delay between the answer to a watch and the next watch. */
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
