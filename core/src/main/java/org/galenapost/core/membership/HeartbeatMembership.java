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
 * Finds lost daemons by heartbeats to a constant number of neighbours. A silent neighbour is probed
 * through others and then suspected; every daemon gives a suspected one the same time to refute, by
 * a higher incarnation, before it counts it as lost. No daemon takes over another's verdict of a
 * loss, and one that was itself stalled, or hears none of its neighbours, judges nobody. Safe for
 * use by several threads.
 */
public final class HeartbeatMembership implements Membership {

  private static final int RETRY_LOST_EVERY_PERIODS = 5;

  private final MembershipSettings settings;
  private final PeerBus bus;
  private final MonotonicClock clock;
  private final StallGuard stalls;
  private final RandomGenerator random;
  private final Consumer<MemberRecord> onAddress;
  private final MemberTable table = new MemberTable();
  private final UpdateQueue updates = new UpdateQueue();
  private final SilenceTracker silence = new SilenceTracker();
  private final PendingProbes probes = new PendingProbes();
  private final TableExchange tables;
  private final Set<String> listedIds = new HashSet<>();
  private MemberRecord self;
  private List<String> neighbours = List.of();
  private long neighboursRevision = -1;
  private long publishedRevision = -1;
  private long lastTickNanos;
  private long ticks;
  private volatile Set<String> liveIds = Set.of();

  /**
   * Creates a membership that knows this daemon alone.
   *
   * @param self this daemon with the incarnation of its start
   * @param settings how daemons watch each other
   * @param bus carries the messages
   * @param clock the monotonic clock
   * @param stalls tells whether this process was stalled
   * @param random chooses helpers
   * @param onAddress told where each daemon listens
   */
  public HeartbeatMembership(
      MemberRecord self,
      MembershipSettings settings,
      PeerBus bus,
      MonotonicClock clock,
      StallGuard stalls,
      RandomGenerator random,
      Consumer<MemberRecord> onAddress) {
    this.self = self;
    this.settings = settings;
    this.bus = bus;
    this.clock = clock;
    this.stalls = stalls;
    this.random = random;
    this.onAddress = onAddress;
    this.tables = new TableExchange(settings.tableInterval(), clock);
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
    publish();
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
    publish();
  }

  @Override
  public synchronized void tick() {
    long nowNanos = clock.nanos();
    if (wasStalled(nowNanos)) {
      silence.reset();
      table.restartSuspicions(nowNanos);
      table.withStatus(MemberStatus.SUSPECTED).forEach(entry -> updates.add(entry.record()));
    } else {
      judge(nowNanos);
    }
    lastTickNanos = nowNanos;
    ticks++;
    sendHeartbeats();
    publish();
  }

  private boolean wasStalled(long nowNanos) {
    Duration elapsed = Duration.ofNanos(nowNanos - lastTickNanos);
    boolean isLate = elapsed.compareTo(settings.period().multipliedBy(2)) > 0;
    return isLate || stalls.stalledWithin(lastTickNanos, nowNanos);
  }

  private void judge(long nowNanos) {
    silence.endPeriod(neighbours);
    if (silence.isIsolated()) {
      table.restartSuspicions(nowNanos);
      return;
    }
    table.expireSuspicions(settings.suspicionTimeout(), nowNanos);
    table.forgetLost(listedIds, settings.forgetAfter(), nowNanos);
    for (String neighbour : List.copyOf(neighbours)) {
      judgeNeighbour(neighbour);
    }
  }

  private void judgeNeighbour(String neighbour) {
    int silentPeriods = silence.silentPeriods(neighbour);
    if (silentPeriods == 0) {
      return;
    }
    askHelpers(neighbour);
    if (silentPeriods >= settings.silentPeriods()) {
      table
          .find(neighbour)
          .filter(record -> record.status() == MemberStatus.ALIVE)
          .ifPresent(record -> accept(record.withStatus(MemberStatus.SUSPECTED)));
    }
  }

  private void askHelpers(String silentId) {
    List<String> candidates = new ArrayList<>(table.liveIds());
    candidates.remove(silentId);
    for (int i = 0; i < settings.indirectProbes() && !candidates.isEmpty(); i++) {
      String helper = candidates.remove(random.nextInt(candidates.size()));
      bus.send(helper, new MembershipMessage.ProbeRequest(silentId, nextUpdates()));
    }
  }

  private void sendHeartbeats() {
    if (neighboursRevision != table.revision()) {
      neighbours = NeighbourRings.neighbours(self.id(), table.liveIds(), settings.neighbours());
      neighboursRevision = table.revision();
    }
    neighbours.forEach(this::sendHeartbeat);
    if (ticks % RETRY_LOST_EVERY_PERIODS == 0) {
      retryOneLost();
    }
  }

  /** Brings both sides of a healed partition together again. */
  private void retryOneLost() {
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
    bus.send(id, new MembershipMessage.Heartbeat(table.digest(self), updatesFor(id)));
  }

  private List<MemberRecord> nextUpdates() {
    List<MemberRecord> message = new ArrayList<>(List.of(self));
    message.addAll(updates.take(settings.updatesPerMessage(), table.entries().size()));
    return message;
  }

  /** Adds what the receiver must know of itself in order to refute it. */
  private List<MemberRecord> updatesFor(String receiverId) {
    List<MemberRecord> message = nextUpdates();
    table
        .find(receiverId)
        .filter(record -> record.status() != MemberStatus.ALIVE)
        .ifPresent(record -> message.add(record.lostAsSuspected()));
    return message;
  }

  private synchronized void onHeartbeat(String sender, MembershipMessage.Heartbeat heartbeat) {
    onUpdates(sender, heartbeat);
    bus.send(sender, new MembershipMessage.HeartbeatAck(updatesFor(sender)));
    if (tables.shouldSendTable(sender, heartbeat.digest() == table.digest(self))) {
      List<MemberRecord> whole = new ArrayList<>(List.of(self));
      table.records().forEach(record -> whole.add(record.lostAsSuspected()));
      bus.send(sender, new MembershipMessage.Table(whole));
    }
  }

  private synchronized void onUpdates(String sender, MembershipMessage message) {
    message.updates().forEach(this::accept);
    silence.recordMessageFrom(sender);
    for (String asker : probes.removeRequesters(sender)) {
      bus.send(asker, new MembershipMessage.ProbeAck(sender, nextUpdates()));
    }
    publish();
  }

  private synchronized void onProbeRequest(String sender, MembershipMessage.ProbeRequest request) {
    onUpdates(sender, request);
    if (!request.targetId().equals(self.id())) {
      probes.add(request.targetId(), sender);
      sendHeartbeat(request.targetId());
    }
  }

  private synchronized void onProbeAck(String sender, MembershipMessage.ProbeAck ack) {
    onUpdates(sender, ack);
    silence.recordMessageFrom(ack.targetId());
  }

  private void accept(MemberRecord update) {
    if (update.id().equals(self.id())) {
      refute(update);
      return;
    }
    MemberRecord record = update.lostAsSuspected();
    Optional<MemberRecord> known = table.find(record.id());
    if (known.isPresent() && !record.overrides(known.get())) {
      answerOutdated(record, known.get());
      return;
    }
    table.put(record, clock.nanos());
    updates.add(record);
    onAddress.accept(record);
  }

  /** Lets the newer record travel again when somebody still holds an outdated suspicion. */
  private void answerOutdated(MemberRecord outdated, MemberRecord known) {
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

  private void publish() {
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
  public synchronized List<MemberRecord> members() {
    return table.records();
  }
}
