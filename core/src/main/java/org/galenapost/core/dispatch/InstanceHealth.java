package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.time.MonotonicClock;

/**
 * Tracks recent failures of servers. A server that could not be reached is avoided for an interval
 * that doubles with each loss. A moving average of failed calls identifies servers that fail part
 * of their calls. Not safe for use by several threads.
 */
public final class InstanceHealth {

  private static final Duration INITIAL_AVOID_INTERVAL = Duration.ofMillis(300);
  private static final int MAX_INTERVAL_DOUBLINGS = 3;

  private static final double FAILURE_WEIGHT = 0.2;
  private static final double SUCCESS_WEIGHT = 0.1;

  private final MonotonicClock clock;
  private final Duration entryTimeout;
  private final Map<InstanceKey, FailureState> states = new HashMap<>();
  private Consumer<InstanceKey> onLoss = instance -> {};

  /**
   * Creates a tracker without recorded failures.
   *
   * @param clock elapsed time
   * @param entryTimeout the time after which the entry of a server that has ended is gone. If a
   *     host refuses connections, its server no longer runs, and a restarted server has another
   *     key.
   */
  public InstanceHealth(MonotonicClock clock, Duration entryTimeout) {
    this.clock = clock;
    this.entryTimeout = entryTimeout;
  }

  /** Sets the listener that is notified of each recorded loss and refused connection. */
  public void onLoss(Consumer<InstanceKey> listener) {
    onLoss = listener;
  }

  /**
   * Records that a server was lost during a call, or did not answer a connection attempt.
   *
   * @return whether the server was not avoided before
   */
  public boolean recordLoss(InstanceKey instance) {
    onLoss.accept(instance);
    FailureState state = stateOf(instance);
    Duration interval = INITIAL_AVOID_INTERVAL.multipliedBy(1L << state.losses);
    state.losses = Math.min(MAX_INTERVAL_DOUBLINGS, state.losses + 1);
    return avoid(state, interval);
  }

  /**
   * Records that a server's host refused a connection.
   *
   * @return whether the server was not avoided before
   */
  public boolean recordRefusal(InstanceKey instance) {
    onLoss.accept(instance);
    FailureState state = stateOf(instance);
    state.hasRefused = true;
    state.refusedNanos = clock.nanos();
    return avoid(state, entryTimeout);
  }

  /**
   * Returns whether the server's host refused a connection so recently that a later start of the
   * server, whose announcement has not arrived yet, may answer at its address.
   */
  public boolean mayHaveRestarted(InstanceKey instance) {
    FailureState state = states.get(instance);
    return state != null
        && state.hasRefused
        && clock.since(state.refusedNanos).compareTo(entryTimeout) < 0;
  }

  private boolean avoid(FailureState state, Duration interval) {
    long untilNanos = clock.nanos() + interval.toNanos();
    boolean isNewlyAvoided = !state.isAvoided || state.avoidUntilNanos - clock.nanos() <= 0;
    boolean isLonger = isNewlyAvoided || untilNanos - state.avoidUntilNanos > 0;
    state.isAvoided = true;
    if (isLonger) {
      state.avoidUntilNanos = untilNanos;
    }
    return isNewlyAvoided;
  }

  /** Withdraws the failures that led to a server being avoided, as they were not its own. */
  void withdrawFailure(InstanceKey instance) {
    FailureState state = states.get(instance);
    if (state != null) {
      state.losses = 0;
      state.isAvoided = false;
      state.hasRefused = false;
    }
  }

  /** Records that a server was reached but failed a call. */
  public void recordFailure(InstanceKey instance) {
    FailureState state = stateOf(instance);
    state.failureShare += FAILURE_WEIGHT * (1 - state.failureShare);
  }

  /** Records that a server answered a call. */
  public void recordSuccess(InstanceKey instance) {
    FailureState state = states.get(instance);
    if (state != null) {
      state.losses = 0;
      state.isAvoided = false;
      state.failureShare -= SUCCESS_WEIGHT * state.failureShare;
    }
  }

  /** Returns whether a server was lost recently and is to be used only as a last resort. */
  public boolean isAvoided(InstanceKey instance) {
    FailureState state = states.get(instance);
    return state != null && state.isAvoided && state.avoidUntilNanos - clock.nanos() > 0;
  }

  /** Returns the moving average of the share of failed calls, from 0 to 1. */
  public double failureShare(InstanceKey instance) {
    FailureState state = states.get(instance);
    return state == null ? 0 : state.failureShare;
  }

  /** Removes the state of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> instances) {
    states.keySet().retainAll(instances);
  }

  private FailureState stateOf(InstanceKey instance) {
    return states.computeIfAbsent(instance, key -> new FailureState());
  }

  private static final class FailureState {
    private int losses;
    private boolean hasRefused;
    private long refusedNanos;
    private boolean isAvoided;
    private long avoidUntilNanos;
    private double failureShare;
  }
}
