package org.galenapost.core.origin;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.time.MonotonicClock;

/**
 * Knows which software versions a stream in progress may have begun at, and whether that is known
 * for certain: either this daemon has followed the servers for longer than a stream lasts, or the
 * daemons before it have left a complete record. Not safe for use by several threads.
 */
public final class VersionHistory {

  private final InstanceDirectory directory;
  private final MonotonicClock clock;
  private final Supplier<Duration> maxStreamAge;
  private final BooleanSupplier isFollowing;
  private final BooleanSupplier isStoreReachable;
  private OptionalLong followingSinceNanos = OptionalLong.empty();
  private boolean isInherited;

  /**
   * Creates a history that knows nothing of the time before.
   *
   * @param directory the known servers
   * @param clock measures how long the servers have been followed
   * @param maxStreamAge returns how long after its first event a stream may still be resumed
   * @param isFollowing returns whether this daemon follows the servers' entries
   * @param isStoreReachable returns whether the platform's store can be reached
   */
  public VersionHistory(
      InstanceDirectory directory,
      MonotonicClock clock,
      Supplier<Duration> maxStreamAge,
      BooleanSupplier isFollowing,
      BooleanSupplier isStoreReachable) {
    this.directory = directory;
    this.clock = clock;
    this.maxStreamAge = maxStreamAge;
    this.isFollowing = isFollowing;
    this.isStoreReachable = isStoreReachable;
  }

  /** Takes over what an earlier daemon has recorded, as if its servers had run until now. */
  void inherit(OriginRecord earlier) {
    earlier.versions().forEach(directory::recordVersions);
    earlier
        .streams()
        .forEach((service, byVersion) -> directory.recordVersions(service, byVersion.keySet()));
    isInherited |= earlier.isComplete();
  }

  /** Records that no daemon has run before, so that there is nothing to inherit. */
  void beginWithoutEarlierDaemons() {
    isInherited = true;
  }

  /** Notes whether this daemon follows the servers. Called periodically. */
  void update() {
    if (followingSinceNanos.isEmpty() && isFollowing.getAsBoolean()) {
      followingSinceNanos = OptionalLong.of(clock.nanos());
    }
  }

  /** Returns whether no stream in progress can have begun at a version that is not known here. */
  public boolean isComplete() {
    return isInherited
        || (followingSinceNanos.isPresent()
            && clock.since(followingSinceNanos.getAsLong()).compareTo(maxStreamAge.get()) > 0);
  }

  /**
   * Returns whether the known versions are all that a stream may have begun at.
   *
   * @param havePeersReplied whether other daemons have just replied, which also tells them of
   *     changes that the store shows
   */
  public boolean isCertain(boolean havePeersReplied) {
    return isComplete() && (havePeersReplied || isStoreReachable.getAsBoolean());
  }

  Duration maxStreamAge() {
    return maxStreamAge.get();
  }

  /** Returns the versions at which streams in progress may have begun, by service. */
  Map<String, Set<String>> versions() {
    return new TreeMap<>(directory.softwareVersions(maxStreamAge.get()));
  }

  /** Returns whether streams of a service need a record, as its version does not tell theirs. */
  boolean needsRecords(String service) {
    return !isComplete() || directory.softwareVersions(service, maxStreamAge.get()).size() > 1;
  }

  long era() {
    return directory.era();
  }
}
