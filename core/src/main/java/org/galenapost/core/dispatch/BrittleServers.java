package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;

/**
 * Keeps servers from falling over that can't refuse many calls in a second and say so. This answers
 * more load than a service takes while each refusal costs its servers. All daemons hear of each
 * refusal of such a server; once a part of what it bears has come in a second, all of them pause it
 * until that second is over. Calls that are on their way may still be refused, so the part is
 * small. Not safe for use by several threads.
 */
public final class BrittleServers {

  /** The part of the refusals that a server bears after which it is paused. */
  private static final double TOLERATED_SHARE = 0.3;

  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final PeerBus bus;
  private final MonotonicClock clock;
  private final RequestedPauses pauses;
  private final Listener listener;
  private final Map<InstanceKey, State> states = new HashMap<>();

  /** Is notified of brittle servers, for the log. */
  public interface Listener {
    /** Handles that a server has become brittle. */
    void onNamed(InstanceKey server, double refusalsPerS);

    /** Handles that a server is brittle no more. */
    void onEnded(InstanceKey server);
  }

  /**
   * Creates a directory without servers.
   *
   * @param bus the bus to all daemons
   * @param clock elapsed time
   * @param pauses receives the pauses of servers that have refused enough
   * @param listener notified of brittle servers
   */
  public BrittleServers(
      PeerBus bus, MonotonicClock clock, RequestedPauses pauses, Listener listener) {
    this.bus = bus;
    this.clock = clock;
    this.pauses = pauses;
    this.listener = listener;
  }

  /** Starts to receive notices of other daemons. */
  public void start() {
    bus.onMessage(BrittleServerNotice.class, (sender, notice) -> applyNotice(notice));
  }

  /**
   * Applies a response of a server.
   *
   * @param server the server that sent it
   * @param refusals the refusals that it states to bear in a second
   * @param sentNanos when the call that it answers was sent, in nanoseconds of the clock
   */
  public void onResponse(InstanceKey server, RateStatement refusals, long sentNanos) {
    State state = states.get(server);
    if (refusals.kind() == RateStatement.Kind.LIMITED) {
      boolean isNews = state == null || state.refusalsPerS != refusals.requestsPerS();
      put(server, refusals.requestsPerS());
      states.get(server).namedNanos = clock.nanos();
      if (isNews) {
        bus.broadcast(notice(server, false));
      }
    } else if (refusals.kind() == RateStatement.Kind.UNLIMITED
        && state != null
        && sentNanos - state.namedNanos > 0) {
      end(server);
      bus.broadcast(notice(server, false));
    }
  }

  /** Records that a server refused a call without running it; one that is not brittle may do so. */
  public void onRefused(InstanceKey server) {
    if (isBrittle(server)) {
      bus.broadcast(notice(server, true));
      countRefusal(server);
    }
  }

  private BrittleServerNotice notice(InstanceKey server, boolean hasRefused) {
    State state = states.get(server);
    OptionalDouble refusalsPerS =
        state == null ? OptionalDouble.empty() : OptionalDouble.of(state.refusalsPerS);
    return new BrittleServerNotice(server, refusalsPerS, hasRefused);
  }

  private void applyNotice(BrittleServerNotice notice) {
    if (notice.refusalsPerS().isEmpty()) {
      end(notice.server());
      return;
    }
    put(notice.server(), notice.refusalsPerS().getAsDouble());
    if (notice.hasRefused()) {
      countRefusal(notice.server());
    }
  }

  private void put(InstanceKey server, double refusalsPerS) {
    State state = states.get(server);
    if (state == null) {
      state = new State(clock.nanos());
      states.put(server, state);
      listener.onNamed(server, refusalsPerS);
    }
    state.refusalsPerS = refusalsPerS;
  }

  private void end(InstanceKey server) {
    if (states.remove(server) != null) {
      listener.onEnded(server);
    }
  }

  private void countRefusal(InstanceKey server) {
    State state = states.get(server);
    long nowNanos = clock.nanos();
    state.refusalNanos.addLast(nowNanos);
    while (clock.since(state.refusalNanos.getFirst()).compareTo(WINDOW) >= 0) {
      state.refusalNanos.removeFirst();
    }
    if (state.refusalNanos.size() >= Math.max(1, TOLERATED_SHARE * state.refusalsPerS)) {
      pauses.record(server, WINDOW.minus(clock.since(state.refusalNanos.getFirst())));
    }
  }

  /** Returns whether a server is brittle, so that no call may be sent that it has no room for. */
  public boolean isBrittle(InstanceKey server) {
    return states.containsKey(server);
  }

  /** Returns the number of brittle servers, for the metrics. */
  public int count() {
    return states.size();
  }

  /** Removes the state of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> servers) {
    states.keySet().retainAll(servers);
  }

  private static final class State {
    private final Deque<Long> refusalNanos = new ArrayDeque<>();
    private double refusalsPerS;
    private long namedNanos;

    State(long namedNanos) {
      this.namedNanos = namedNanos;
    }
  }
}
