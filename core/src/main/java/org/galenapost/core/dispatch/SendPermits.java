package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerCalls;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Keeps the sends of all daemons to a server within the limit that the server names. This answers
 * the load on a server in need, whose limit may be smaller than the number of daemons. One daemon
 * per server, chosen by rendezvous hashing, grants a permit for each send of any daemon, so daemons
 * without traffic leave the whole rate to the others. While it does not reply, the next daemon in
 * the ranking grants a part of the rate. Both together stay within one and a half times the limit.
 *
 * <p>A daemon that is denied a permit pauses the server until there is one, so that its calls go to
 * other servers or are refused at once. A server that takes nothing still gets a call now and then,
 * since only its responses tell that its limit has ended. Not safe for use by several threads.
 */
public final class SendPermits {

  /** The rate of calls to a server that names a smaller one, in calls per second. */
  static final double MIN_PERMITS_PER_S = 0.25;

  /** The share of the rate that the deputy grants. */
  static final double DEPUTY_SHARE = 0.4;

  /** Several round trips; a daemon that needs longer is replaced by its deputy. */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(40);

  /** How long a daemon that did not reply is not asked again. */
  private static final Duration UNRESPONSIVE_TIME = Duration.ofSeconds(1);

  /** Bounds how long the end of a limit goes unnoticed by a daemon that was denied a permit. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(500);

  private static final Duration REPEAT_PERIOD = Duration.ofSeconds(1);

  private final String ownId;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final ServerLimits limits;
  private final RequestedPauses pauses;
  private final PeerCalls<SendPermitMessage.Reply> calls;
  private final Map<InstanceKey, PermitBucket> buckets = new HashMap<>();
  private final Map<String, Long> unresponsiveUntilNanos = new HashMap<>();
  private boolean isRunning;
  private long grantedCount;
  private long deniedCount;

  /**
   * Creates permits.
   *
   * @param ownId the id of this daemon
   * @param bus the bus to all daemons
   * @param scheduler runs timeouts and the periodic notices
   * @param clock measures the rates
   * @param limits the limits that servers name
   * @param pauses receives the pauses of servers for which a permit was denied
   */
  public SendPermits(
      String ownId,
      PeerBus bus,
      Scheduler scheduler,
      MonotonicClock clock,
      ServerLimits limits,
      RequestedPauses pauses) {
    this.ownId = ownId;
    this.bus = bus;
    this.scheduler = scheduler;
    this.clock = clock;
    this.limits = limits;
    this.pauses = pauses;
    this.calls = new PeerCalls<>(bus, scheduler, SendPermitMessage.Reply.class, REPLY_TIMEOUT);
  }

  /** Starts to grant permits to other daemons and to repeat the notices of limits. */
  public void start() {
    isRunning = true;
    bus.onMessage(SendPermitMessage.Request.class, this::onRequest);
    scheduler.schedule(REPEAT_PERIOD, this::repeatNotices);
  }

  /** Stops the periodic notices. */
  public void stop() {
    isRunning = false;
  }

  /**
   * Asks for a permit to send one call to a server; a server without a limit needs none.
   *
   * @param server the server
   * @param onResult receives whether the call may be sent, at once or after at most 80 ms; if not,
   *     the server is paused
   */
  public void acquire(InstanceKey server, Consumer<Boolean> onResult) {
    OptionalDouble limit = limits.requestsPerS(server);
    if (limit.isEmpty()) {
      onResult.accept(true);
      return;
    }
    List<String> granters = granters(server);
    int first = granters.size() > 1 && isUnresponsive(granters.get(0)) ? 1 : 0;
    ask(server, limit.getAsDouble(), granters.subList(first, granters.size()), onResult);
  }

  /** Returns the daemon that grants permits for a server and its deputy. */
  private List<String> granters(InstanceKey server) {
    Set<String> daemons = new HashSet<>(bus.livePeerIds());
    daemons.add(ownId);
    return Rendezvous.rank(server.text(), daemons, id -> id).stream().limit(2).toList();
  }

  private boolean isUnresponsive(String daemonId) {
    Long untilNanos = unresponsiveUntilNanos.get(daemonId);
    return untilNanos != null && untilNanos - clock.nanos() > 0;
  }

  private void ask(
      InstanceKey server, double limitPerS, List<String> granters, Consumer<Boolean> onResult) {
    if (granters.isEmpty()) {
      deny(server, MAX_PAUSE, onResult);
    } else if (granters.get(0).equals(ownId)) {
      conclude(server, grant(server, limitPerS), onResult);
    } else {
      calls
          .call(granters.get(0), id -> new SendPermitMessage.Request(id, server, limitPerS))
          .thenAccept(reply -> onReply(server, limitPerS, granters, reply, onResult));
    }
  }

  private void onReply(
      InstanceKey server,
      double limitPerS,
      List<String> granters,
      Optional<SendPermitMessage.Reply> reply,
      Consumer<Boolean> onResult) {
    if (reply.isPresent()) {
      Duration wait =
          reply.get().isGranted() ? Duration.ZERO : Duration.ofMillis(reply.get().waitMs());
      conclude(server, wait, onResult);
      return;
    }
    unresponsiveUntilNanos.put(granters.get(0), clock.nanos() + UNRESPONSIVE_TIME.toNanos());
    ask(server, limitPerS, granters.subList(1, granters.size()), onResult);
  }

  private void conclude(InstanceKey server, Duration wait, Consumer<Boolean> onResult) {
    if (wait.isZero()) {
      grantedCount++;
      onResult.accept(true);
    } else {
      deny(server, wait, onResult);
    }
  }

  private void deny(InstanceKey server, Duration wait, Consumer<Boolean> onResult) {
    deniedCount++;
    pauses.recordWithExpectation(server, wait.compareTo(MAX_PAUSE) < 0 ? wait : MAX_PAUSE, wait);
    onResult.accept(false);
  }

  /** Grants a permit to a daemon; returns zero, or the time until there is one. */
  private Duration grant(InstanceKey server, double limitPerS) {
    int rank = granters(server).indexOf(ownId);
    if (rank < 0) {
      return MAX_PAUSE;
    }
    double share = rank == 0 ? 1 : DEPUTY_SHARE;
    return buckets
        .computeIfAbsent(server, key -> new PermitBucket(clock))
        .tryTake(share * Math.max(limitPerS, MIN_PERMITS_PER_S));
  }

  private void onRequest(String sender, SendPermitMessage.Request request) {
    Duration wait = grant(request.server(), request.requestsPerS());
    bus.send(
        sender,
        new SendPermitMessage.Reply(
            request.requestId(), wait.isZero(), Math.max(1, wait.toMillis())));
  }

  /** The deputy repeats them too, since a daemon that has just become granter may know no limit. */
  private void repeatNotices() {
    if (!isRunning) {
      return;
    }
    limits.servers().stream()
        .filter(server -> granters(server).contains(ownId))
        .forEach(limits::broadcast);
    scheduler.schedule(REPEAT_PERIOD, this::repeatNotices);
  }

  /** Removes the state of all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> servers) {
    buckets.keySet().retainAll(servers);
    unresponsiveUntilNanos.values().removeIf(untilNanos -> untilNanos - clock.nanos() <= 0);
  }

  /** Returns the number of permits that this daemon was granted, for the metrics. */
  public long grantedCount() {
    return grantedCount;
  }

  /** Returns the number of permits that this daemon was denied, for the metrics. */
  public long deniedCount() {
    return deniedCount;
  }
}
