package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.time.MonotonicClock;

/**
 * The pauses that servers asked this daemon for when they turned a call away. A server receives no
 * call during its pause. This answers the load of an overloaded server whose callers would only add
 * refusals to its queue. A pause concerns one daemon, since each server asks each daemon for its
 * own. Not safe for use by several threads.
 */
public final class RequestedPauses {

  /** Bounds the effect of a faulty value. */
  private static final Duration MAX_PAUSE = Duration.ofMinutes(10);

  private final MonotonicClock clock;
  private final Map<InstanceKey, Long> endNanos = new HashMap<>();
  private final Map<InstanceKey, Long> expectedNanos = new HashMap<>();

  /** Creates pauses without entries. */
  public RequestedPauses(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Records that a server wants no call for a time; a longer pause in force stays. */
  public void record(InstanceKey instance, Duration pause) {
    Duration bounded = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
    long end = clock.nanos() + bounded.toNanos();
    endNanos.merge(instance, end, (held, added) -> added - held > 0 ? added : held);
  }

  /**
   * Records a pause after which a server is asked again, although it is expected to take a call
   * only later.
   *
   * @param instance the server
   * @param pause the time until it is asked again
   * @param expected the time until it is expected to take a call
   */
  void recordWithExpectation(InstanceKey instance, Duration pause, Duration expected) {
    record(instance, pause);
    expectedNanos.put(instance, clock.nanos() + expected.toNanos());
  }

  /** Returns whether a server is in a pause. */
  public boolean isPaused(InstanceKey instance) {
    return remainingNanos(instance) > 0;
  }

  /** Returns how long a server still wants no call; zero if it is in no pause. */
  public Duration remaining(InstanceKey instance) {
    return Duration.ofNanos(remainingNanos(instance));
  }

  /**
   * Returns the time until the first of the servers is expected to take a call; empty if one of
   * them is in no pause, or if there are none.
   */
  public Optional<Duration> untilFirstEnds(Collection<ServerInstance> instances) {
    return instances.stream()
        .map(instance -> Duration.ofNanos(expectedNanos(instance.key())))
        .min(Duration::compareTo)
        .filter(remaining -> !remaining.isZero());
  }

  private long expectedNanos(InstanceKey instance) {
    long remaining = remainingNanos(instance);
    Long expected = expectedNanos.get(instance);
    return remaining == 0 || expected == null
        ? remaining
        : Math.max(remaining, expected - clock.nanos());
  }

  private long remainingNanos(InstanceKey instance) {
    Long end = endNanos.get(instance);
    return end == null ? 0 : Math.max(0, end - clock.nanos());
  }

  /** Removes the pauses of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> instances) {
    endNanos.keySet().retainAll(instances);
    expectedNanos.keySet().retainAll(instances);
  }
}
