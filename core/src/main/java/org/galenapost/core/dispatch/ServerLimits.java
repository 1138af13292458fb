package org.galenapost.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;

/**
 * The limits that servers name in their responses, known to all daemons. A limit holds until the
 * server answers a call that was sent later and names none. It ends with the life of the server, so
 * a server that is replaced at its address has none. Not safe for use by several threads.
 */
public final class ServerLimits {

  /** Smaller changes of a limit are not broadcast; each daemon reads them from its own calls. */
  private static final double BROADCAST_CHANGE_SHARE = 0.1;

  private final PeerBus bus;
  private final MonotonicClock clock;
  private final Listener listener;
  private final Map<InstanceKey, Limit> limits = new HashMap<>();

  /** Is notified of limits, for the log. */
  public interface Listener {
    /** Handles a server's first limit, or one that differs by more than a tenth. */
    void onNamed(InstanceKey server, double requestsPerS);

    /** Handles the end of a server's limit. */
    void onEnded(InstanceKey server);
  }

  private record Limit(double requestsPerS, double notifiedPerS, long namedNanos) {}

  /**
   * Creates limits without entries.
   *
   * @param bus the bus to all daemons
   * @param clock tells whether a call was sent after a limit was named
   * @param listener notified of limits
   */
  public ServerLimits(PeerBus bus, MonotonicClock clock, Listener listener) {
    this.bus = bus;
    this.clock = clock;
    this.listener = listener;
  }

  /** Starts to receive notices of other daemons. */
  public void start() {
    bus.onMessage(ServerLimitNotice.class, (sender, notice) -> applyNotice(notice));
  }

  /**
   * Applies a response of a server.
   *
   * @param server the server that sent it
   * @param statement what it states about the server's rate
   * @param sentNanos when the call that it answers was sent, in nanoseconds of the clock
   */
  public void onResponse(InstanceKey server, RateStatement statement, long sentNanos) {
    Limit held = limits.get(server);
    if (statement.kind() == RateStatement.Kind.LIMITED) {
      if (put(server, statement.requestsPerS(), clock.nanos())) {
        broadcast(server);
      }
    } else if (statement.kind() == RateStatement.Kind.UNLIMITED
        && held != null
        && sentNanos - held.namedNanos() > 0) {
      end(server);
      bus.broadcast(new ServerLimitNotice(server, OptionalDouble.empty()));
    }
  }

  private void applyNotice(ServerLimitNotice notice) {
    InstanceKey server = notice.server();
    if (notice.requestsPerS().isEmpty()) {
      end(server);
      return;
    }
    // A repeated notice is no later statement of the server.
    Limit held = limits.get(server);
    long namedNanos = held == null ? clock.nanos() : held.namedNanos();
    put(server, notice.requestsPerS().getAsDouble(), namedNanos);
  }

  /** Holds a limit and returns whether it is new or differs much from the one last notified of. */
  private boolean put(InstanceKey server, double requestsPerS, long namedNanos) {
    Limit held = limits.get(server);
    boolean isNews =
        held == null
            || Math.abs(requestsPerS - held.notifiedPerS())
                > BROADCAST_CHANGE_SHARE * held.notifiedPerS();
    double notifiedPerS = isNews ? requestsPerS : held.notifiedPerS();
    limits.put(server, new Limit(requestsPerS, notifiedPerS, namedNanos));
    if (isNews) {
      listener.onNamed(server, requestsPerS);
    }
    return isNews;
  }

  private void end(InstanceKey server) {
    if (limits.remove(server) != null) {
      listener.onEnded(server);
    }
  }

  /** Notifies all daemons of the limit of a server again, for those that start or missed it. */
  void broadcast(InstanceKey server) {
    bus.broadcast(new ServerLimitNotice(server, requestsPerS(server)));
  }

  /** Returns the limit of a server in requests per second; empty if it names none. */
  public OptionalDouble requestsPerS(InstanceKey server) {
    Limit held = limits.get(server);
    return held == null ? OptionalDouble.empty() : OptionalDouble.of(held.requestsPerS());
  }

  /** Returns the servers that name a limit. */
  public Set<InstanceKey> servers() {
    return Set.copyOf(limits.keySet());
  }

  /** Returns the number of servers that name a limit, for the metrics. */
  public int count() {
    return limits.size();
  }

  /** Removes the limits of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> servers) {
    limits.keySet().retainAll(servers);
  }
}
