package org.galenapost.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostRole;
import org.galenapost.core.time.MonotonicClock;

/**
 * Detects lost daemons by heartbeats to a constant number of neighbours. A silent neighbour is
 * probed through other daemons and then suspected. A suspected daemon refutes the suspicion by a
 * higher incarnation. Each daemon waits the same suspicion timeout before it marks the member as
 * lost, and never adopts that status from another daemon. A daemon that was stalled, or receives
 * from none of its neighbours, marks nobody as suspected or lost in that period. Thread-safe.
 */
public final class HeartbeatMembership implements Membership {

  private static final int PROBE_LOST_EVERY_PERIODS = 5;

  private final MembershipSettings settings;
  private final PeerBus bus;
  private final MonotonicClock clock;
  private final StallGuard stallGuard;
  private final RandomGenerator random;
  private final Consumer<MemberRecord> onAddress;
  private final MemberTable table = new MemberTable();
  private final UpdateQueue updates = new UpdateQueue();
  private final SilenceTracker silenceTracker = new SilenceTracker();
  private final PendingProbes pendingProbes = new PendingProbes();
  private final TableExchange tableExchange;
  private final Set<String> listedIds = new HashSet<>();
  private MemberRecord self;
  private List<String> neighbours = List.of();
  private long neighboursRevision = -1;
  private long publishedRevision = -1;
  private long lastTickNanos;
  private long ticks;
  private volatile Set<String> liveIds = Set.of();

  /**
   * Creates a membership that contains only this daemon.
   *
   * @param self the record of this daemon, with the incarnation of this start
   * @param settings the intervals, timeouts and fan-outs of failure detection
   * @param bus the message transport
   * @param clock the monotonic clock
   * @param stallGuard reports whether this process was stalled
   * @param random selects the daemons that send indirect probes
   * @param onAddress notified of the address of each new or changed member
   */
  public HeartbeatMembership(
      MemberRecord self,
      MembershipSettings settings,
      PeerBus bus,
      MonotonicClock clock,
      StallGuard stallGuard,
      RandomGenerator random,
      Consumer<MemberRecord> onAddress) {
    this.self = self;
    this.settings = settings;
    this.bus = bus;
    this.clock = clock;
    this.stallGuard = stallGuard;
    this.random = random;
    this.onAddress = onAddress;
    this.tableExchange = new TableExchange(settings.tableInterval(), clock);
    this.lastTickNanos = clock.nanos();
    bus.onMessage(MembershipMessage.Heartbeat.class, this::onHeartbeat);
    bus.onMessage(MembershipMessage.HeartbeatAck.class, this::onUpdates);
    bus.onMessage(MembershipMessage.ProbeRequest.class, this::onProbeRequest);
    bus.onMessage(MembershipMessage.ProbeAck.class, this::onProbeAck);
    bus.onMessage(MembershipMessage.Table.class, this::onUpdates);
  }

  @Override
  public synchronized void onHosts(List<Host> hosts) {
    listedIds.clear();
    for (Host host : hosts) {
      if (host.role() == HostRole.DAEMON && !host.id().equals(self.id())) {
        listedIds.add(host.id());
        addListed(host);
      }
    }
    publishLiveIds();
  }

  private void addListed(Host host) {
    MemberRecord listed =
        new MemberRecord(
            host.id(),
            host.ip(),
            host.port(),
            host.dataCentre(),
            MemberRecord.UNCONFIRMED_INCARNATION,
            MemberStatus.ALIVE);
    Optional<MemberRecord> known = table.find(host.id());
    if (known.isEmpty()) {
      table.put(listed, clock.nanos());
      onAddress.accept(listed);
    } else if (!known.get().status().isLive()) {
      onAddress.accept(listed);
    }
  }

  @Override
  public synchronized void addDiscovered(MemberRecord daemon) {
    if (!daemon.id().equals(self.id()) && table.find(daemon.id()).isEmpty()) {
      table.put(daemon, clock.nanos());
    }
    publishLiveIds();
  }

  @Override
  public synchronized void tick() {
    long nowNanos = clock.nanos();
    if (wasStalled(nowNanos)) {
      silenceTracker.reset();
      table.restartSuspicions(nowNanos);
      table.withStatus(MemberStatus.SUSPECTED).forEach(entry -> updates.add(entry.record()));
    } else {
      updateStatuses(nowNanos);
    }
    lastTickNanos = nowNanos;
    ticks++;
    sendHeartbeats();
    publishLiveIds();
  }

  private boolean wasStalled(long nowNanos) {
    Duration elapsed = Duration.ofNanos(nowNanos - lastTickNanos);
    boolean isLate = elapsed.compareTo(settings.period().multipliedBy(2)) > 0;
    return isLate || stallGuard.stalledWithin(lastTickNanos, nowNanos);
  }

  private void updateStatuses(long nowNanos) {
    silenceTracker.endPeriod(neighbours);
    if (silenceTracker.isIsolated()) {
      table.restartSuspicions(nowNanos);
      return;
    }
    table.expireSuspicions(settings.suspicionTimeout(), nowNanos);
    table.forgetLost(listedIds, settings.forgetAfter(), nowNanos);
    for (String neighbour : List.copyOf(neighbours)) {
      checkNeighbour(neighbour);
    }
  }

  private void checkNeighbour(String neighbour) {
    int silentPeriods = silenceTracker.silentPeriods(neighbour);
    if (silentPeriods == 0) {
      return;
    }
    requestIndirectProbes(neighbour);
    if (silentPeriods >= settings.silentPeriods()) {
      table
          .find(neighbour)
          .filter(record -> record.status() == MemberStatus.ALIVE)
          .ifPresent(record -> applyUpdate(record.withStatus(MemberStatus.SUSPECTED)));
    }
  }

  private void requestIndirectProbes(String silentId) {
    List<String> candidates = new ArrayList<>(table.liveIds());
    candidates.remove(silentId);
    for (int i = 0; i < settings.indirectProbes() && !candidates.isEmpty(); i++) {
      String proberId = candidates.remove(random.nextInt(candidates.size()));
      bus.send(proberId, new MembershipMessage.ProbeRequest(silentId, nextUpdates()));
    }
  }

  private void sendHeartbeats() {
    if (neighboursRevision != table.revision()) {
      neighbours = NeighbourRings.neighbours(self.id(), table.liveIds(), settings.neighbours());
      neighboursRevision = table.revision();
    }
    neighbours.forEach(this::sendHeartbeat);
    if (ticks % PROBE_LOST_EVERY_PERIODS == 0) {
      probeOneLostMember();
    }
  }

  /** Sends a heartbeat to one lost member, so that both sides rejoin after a partition heals. */
  private void probeOneLostMember() {
    List<String> lost =
        table.records().stream()
            .filter(record -> !record.status().isLive())
            .map(MemberRecord::id)
            .toList();
    if (!lost.isEmpty()) {
      sendHeartbeat(lost.get(random.nextInt(lost.size())));
    }
  }

  private void sendHeartbeat(String id) {
    bus.send(id, new MembershipMessage.Heartbeat(table.digest(self), updatesToSend(id)));
  }

  private List<MemberRecord> nextUpdates() {
    List<MemberRecord> message = new ArrayList<>(List.of(self));
    message.addAll(updates.take(settings.updatesPerMessage(), table.entries().size()));
    return message;
  }

  /** Adds the receiver's own record if it is not alive here, so that the receiver can refute it. */
  private List<MemberRecord> updatesToSend(String receiverId) {
    List<MemberRecord> message = nextUpdates();
    table
        .find(receiverId)
        .filter(record -> record.status() != MemberStatus.ALIVE)
        .ifPresent(record -> message.add(record.lostAsSuspected()));
    return message;
  }

  private synchronized void onHeartbeat(String sender, MembershipMessage.Heartbeat heartbeat) {
    onUpdates(sender, heartbeat);
    bus.send(sender, new MembershipMessage.HeartbeatAck(updatesToSend(sender)));
    if (tableExchange.shouldSendTable(sender, heartbeat.digest() == table.digest(self))) {
      List<MemberRecord> fullTable = new ArrayList<>(List.of(self));
      table.records().forEach(record -> fullTable.add(record.lostAsSuspected()));
      bus.send(sender, new MembershipMessage.Table(fullTable));
    }
  }

  private synchronized void onUpdates(String sender, MembershipMessage message) {
    message.updates().forEach(this::applyUpdate);
    silenceTracker.recordMessageFrom(sender);
    for (String requester : pendingProbes.removeRequesters(sender)) {
      bus.send(requester, new MembershipMessage.ProbeAck(sender, nextUpdates()));
    }
    publishLiveIds();
  }

  private synchronized void onProbeRequest(String sender, MembershipMessage.ProbeRequest request) {
    onUpdates(sender, request);
    if (!request.targetId().equals(self.id())) {
      pendingProbes.add(request.targetId(), sender);
      sendHeartbeat(request.targetId());
    }
  }

  private synchronized void onProbeAck(String sender, MembershipMessage.ProbeAck ack) {
    onUpdates(sender, ack);
    silenceTracker.recordMessageFrom(ack.targetId());
  }

  private void applyUpdate(MemberRecord update) {
    if (update.id().equals(self.id())) {
      refute(update);
      return;
    }
    MemberRecord record = update.lostAsSuspected();
    Optional<MemberRecord> known = table.find(record.id());
    if (known.isPresent() && !record.overrides(known.get())) {
      resendNewerRecord(record, known.get());
      return;
    }
    table.put(record, clock.nanos());
    updates.add(record);
    onAddress.accept(record);
  }

  /** Sends the newer record again when a peer still reports an outdated suspicion. */
  private void resendNewerRecord(MemberRecord outdated, MemberRecord known) {
    boolean isRefuted = known.incarnation() > outdated.incarnation();
    if (outdated.status() == MemberStatus.SUSPECTED && isRefuted) {
      updates.add(known);
    }
  }

  private void refute(MemberRecord update) {
    if (update.status() == MemberStatus.ALIVE && update.incarnation() <= self.incarnation()) {
      return;
    }
    if (self.status() == MemberStatus.ALIVE) {
      self = self.aliveWithIncarnation(Math.max(self.incarnation(), update.incarnation() + 1));
      updates.add(self);
    }
  }

  @Override
  public synchronized void leave() {
    self = self.withStatus(MemberStatus.LEFT);
    updates.add(self);
    neighbours.forEach(this::sendHeartbeat);
  }

  private void publishLiveIds() {
    if (publishedRevision != table.revision()) {
      publishedRevision = table.revision();
      liveIds = table.liveIds();
    }
  }

  @Override
  public Set<String> liveIds() {
    return liveIds;
  }

  @Override
  public synchronized int recentlyLiveCount(Duration time) {
    return table.recentlyLiveCount(time, clock.nanos());
  }

  @Override
  public synchronized List<MemberRecord> members() {
    return table.records();
  }
}
