package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.prompt.PartIds;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Identifies parts of prompts that crash every server that begins to answer a request with them,
 * and refuses requests with such a part. Requests that share other parts, the caller or a lost
 * server with them are not refused.
 *
 * <p>Daemons report their losses to each other, so that all refuse the same parts. The losses under
 * refused parts are also reported to one random daemon at regular intervals, so that a daemon that
 * starts, or was cut off, learns them. Not safe for use by several threads.
 */
public final class PromptPartQuarantine {

  /** The events of a stream after which its server is past the beginning of the answer. */
  public static final int PROOF_EVENTS = 16;

  /** Well below the time within which a daemon that starts or was cut off must know the parts. */
  private static final Duration EXCHANGE_PERIOD = Duration.ofSeconds(1);

  /** Each daemon with a request at a lost server reports the loss, most of them at once. */
  private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(25);

  /** How long a server may still crash by a request that it is told to stop. */
  private static final Duration STOP_TIME = Duration.ofSeconds(1);

  private final PeerBus peers;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final Listener listener;
  private final PartLosses losses;
  private final Set<String> refusedPartIds = new HashSet<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Map<String, StoppedRequest> stoppedRequests = new HashMap<>();
  private OptionalLong lastCheckNanos = OptionalLong.empty();
  private boolean isRunning;

  /** A request in progress; compared by identity, since requests may share all their parts. */
  private static final class Watch {
    private final String serverId;
    private final PartIds partIds;
    private final Consumer<Refusal> onRefused;

    Watch(String serverId, PartIds partIds, Consumer<Refusal> onRefused) {
      this.serverId = serverId;
      this.partIds = partIds;
      this.onRefused = onRefused;
    }
  }

  /** A request that was stopped at a server because of one of its parts. */
  private record StoppedRequest(String causePartId, long atNanos) {}

  /** Is notified when parts are refused for the first time, and when they are cleared again. */
  public interface Listener {
    /** A listener that ignores every decision. */
    Listener NONE =
        new Listener() {
          @Override
          public void onRefused(String partId, int lostServers) {}

          @Override
          public void onCleared(String partId) {}
        };

    /** Handles a part that is refused from now on. */
    void onRefused(String partId, int lostServers);

    /** Handles a part that was refused and has proved to be harmless. */
    void onCleared(String partId);
  }

  /**
   * Creates a quarantine without suspects.
   *
   * @param peers the other daemons
   * @param clock elapsed time
   * @param scheduler runs the periodic reports
   * @param random chooses the receiver of a report
   * @param listener is notified of decisions
   */
  public PromptPartQuarantine(
      PeerBus peers,
      MonotonicClock clock,
      Scheduler scheduler,
      RandomSource random,
      Listener listener) {
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.random = Objects.requireNonNull(random, "random");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.losses = new PartLosses(clock);
  }

  /** Starts to receive the reports of other daemons, and the periodic reports to one of them. */
  public void start() {
    isRunning = true;
    peers.onMessage(PartLossReport.class, this::merge);
    peers.onMessage(PartProof.class, (sender, proof) -> clear(proof.partIds()));
    scheduleExchange();
  }

  /** Stops the periodic reports. */
  public void stop() {
    isRunning = false;
  }

  private void scheduleExchange() {
    scheduler.schedule(random.jitter(EXCHANGE_PERIOD), this::reportToOnePeer);
  }

  private void reportToOnePeer() {
    if (!isRunning) {
      return;
    }
    List<String> peerIds = new ArrayList<>(peers.livePeerIds());
    if (!peerIds.isEmpty()) {
      String peerId = peerIds.get(random.nextIndex(peerIds.size()));
      losses.reportsOf(refusedPartIds).forEach(report -> peers.send(peerId, report));
    }
    scheduleExchange();
  }

  private void merge(String sender, PartLossReport report) {
    Duration age = Duration.ofMillis(report.ageMs());
    if (losses.add(report.serverId(), report.partIds(), age)) {
      scheduleCheckOfWatches();
    }
    Set<String> cleared = losses.clearedSince(age, report.partIds());
    if (!cleared.isEmpty()) {
      peers.send(sender, new PartProof(cleared));
    }
  }

  /**
   * Returns the refusal of a request, if one of its parts crashes servers.
   *
   * @param partIds the parts of the prompt that other requests may share
   */
  public Optional<Refusal> check(Collection<String> partIds) {
    return findCause(partIds).map(PromptPartQuarantine::refusal);
  }

  private Optional<String> findCause(Collection<String> partIds) {
    Optional<String> cause = losses.causeAmong(partIds);
    cause.ifPresent(this::notifyRefused);
    return cause;
  }

  private static Refusal refusal(String partId) {
    return Refusal.notRun(
        RefusalReason.CRASHES_SERVERS, "part " + partId + " of the prompt crashes backend servers");
  }

  private void notifyRefused(String partId) {
    if (refusedPartIds.add(partId)) {
      listener.onRefused(partId, losses.countedServers(partId));
    }
  }

  /**
   * Watches a request whose server has not begun to answer it. A request that is in progress when
   * one of its parts is found to crash servers can then be stopped before it crashes another one.
   *
   * @param serverId the server
   * @param partIds the parts of the prompt that other requests may share
   * @param onRefused receives the refusal, at most once
   * @return ends the watch
   */
  public Runnable watch(String serverId, Collection<String> partIds, Consumer<Refusal> onRefused) {
    if (partIds.isEmpty()) {
      return () -> {};
    }
    Watch watch = new Watch(serverId, PartIds.copyOf(partIds), onRefused);
    watches.add(watch);
    return () -> watches.remove(watch);
  }

  /**
   * Schedules a check of the requests in progress when the latest loss counts. One check serves all
   * losses and parts that become known within the interval before it.
   */
  private void scheduleCheckOfWatches() {
    long dueNanos = clock.nanos() + PartLosses.SETTLING_TIME.toNanos();
    if (lastCheckNanos.isPresent()) {
      long sinceLastNanos = dueNanos - lastCheckNanos.getAsLong();
      if (sinceLastNanos <= 0) {
        return;
      }
      dueNanos += sinceLastNanos < MIN_CHECK_INTERVAL.toNanos() ? MIN_CHECK_INTERVAL.toNanos() : 0;
    }
    lastCheckNanos = OptionalLong.of(dueNanos);
    scheduler.schedule(Duration.ofNanos(dueNanos - clock.nanos()), this::notifyWatches);
  }

  private void notifyWatches() {
    for (Watch watch : List.copyOf(watches)) {
      findCause(watch.partIds).ifPresent(partId -> stop(watch, partId));
    }
  }

  private void stop(Watch watch, String causePartId) {
    if (watches.remove(watch)) {
      stoppedRequests.values().removeIf(request -> !mayStillRun(request));
      stoppedRequests.put(watch.serverId, new StoppedRequest(causePartId, clock.nanos()));
      watch.onRefused.accept(refusal(causePartId));
    }
  }

  private boolean mayStillRun(StoppedRequest request) {
    return clock.since(request.atNanos).compareTo(STOP_TIME) < 0;
  }

  /**
   * Records the loss of a server on which a request ran.
   *
   * @param serverId the server
   * @param unansweredPartIds the parts of the request if the server had not passed the beginning of
   *     its answer, otherwise empty
   */
  public void onServerLost(String serverId, Collection<String> unansweredPartIds) {
    Set<String> suspectPartIds = new HashSet<>(unansweredPartIds);
    Optional.ofNullable(stoppedRequests.get(serverId))
        .filter(this::mayStillRun)
        .ifPresent(request -> suspectPartIds.add(request.causePartId));
    if (losses.add(serverId, suspectPartIds, Duration.ZERO)) {
      peers.broadcast(new PartLossReport(serverId, suspectPartIds, 0));
      scheduleCheckOfWatches();
    }
  }

  /** Returns whether a part of a prompt caused the loss of a server, whatever else ran there. */
  public boolean isCauseOfLoss(String serverId) {
    return losses.isExplained(serverId);
  }

  /** Clears the parts of a request that a server answers. */
  public void onAnswered(Collection<String> partIds) {
    Set<String> cleared = clear(partIds);
    if (!cleared.isEmpty()) {
      peers.broadcast(new PartProof(cleared));
    }
  }

  private Set<String> clear(Collection<String> partIds) {
    Set<String> cleared = losses.clear(partIds);
    cleared.stream().filter(refusedPartIds::remove).forEach(listener::onCleared);
    return cleared;
  }
}
