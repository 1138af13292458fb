package org.galenapost.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostRole;
import org.galenapost.core.testing.VirtualTime;

/** Simulates the membership of several daemons in virtual time over a lossy network. */
final class MembershipSimulation {

  private static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final long FIRST_INCARNATION = 1_000;

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final double lossRate;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, Set<String>> everLostByObserver = new HashMap<>();
  private long sentMessages;

  MembershipSimulation(long seed, int daemons, double lossRate) {
    this.random = new Random(seed);
    this.lossRate = lossRate;
    List<String> ids = IntStream.range(0, daemons).mapToObj(i -> "d" + i).toList();
    ids.forEach(id -> start(id, FIRST_INCARNATION));
    nodes.values().forEach(node -> node.membership.onHosts(hosts(ids)));
  }

  private static List<Host> hosts(List<String> ids) {
    return ids.stream()
        .map(id -> new Host(id, "127.0.0.1", 1, HostRole.DAEMON, "dc1", false))
        .toList();
  }

  void start(String id, long incarnation) {
    nodes.put(id, new Node(id, incarnation));
  }

  void restart(String id, long incarnation) {
    List<String> ids = List.copyOf(nodes.keySet());
    start(id, incarnation);
    nodes.get(id).membership.onHosts(hosts(ids));
  }

  void crash(String id) {
    nodes.get(id).isCrashed = true;
  }

  void freeze(String id) {
    nodes.get(id).isFrozen = true;
  }

  void resume(String id) {
    nodes.get(id).isFrozen = false;
    nodes.get(id).membership.tick();
  }

  void cutOneWay(String from, String to) {
    cutLinks.add(from + ">" + to);
  }

  /** Advances time and records every daemon that any running daemon marked as lost. */
  void run(Duration duration) {
    for (long i = 0; i < duration.dividedBy(STEP); i++) {
      time.advance(STEP);
      nodes.values().stream().filter(Node::isRunning).forEach(this::recordLost);
    }
  }

  private void recordLost(Node node) {
    Set<String> lost = everLostByObserver.computeIfAbsent(node.id, id -> new HashSet<>());
    node.membership.members().stream()
        .filter(record -> !record.status().isLive())
        .forEach(record -> lost.add(record.id()));
  }

  Set<String> everLost() {
    Set<String> lost = new HashSet<>();
    everLostByObserver.values().forEach(lost::addAll);
    return lost;
  }

  Set<String> everLostBy(String observer) {
    return everLostByObserver.getOrDefault(observer, Set.of());
  }

  /** Returns the running daemons that see another daemon as live. */
  List<String> daemonsSeeingLive(String id) {
    return nodes.values().stream()
        .filter(node -> node.isRunning() && !node.id.equals(id))
        .filter(node -> node.membership.liveIds().contains(id))
        .map(node -> node.id)
        .toList();
  }

  Membership membershipOf(String id) {
    return nodes.get(id).membership;
  }

  VirtualTime time() {
    return time;
  }

  long sentMessages() {
    return sentMessages;
  }

  private final class Node implements PeerBus {

    private final String id;
    private final Map<Class<?>, BiConsumer<String, PeerMessage>> handlers = new HashMap<>();
    private final HeartbeatMembership membership;
    private boolean isCrashed;
    private boolean isFrozen;

    Node(String id, long incarnation) {
      this.id = id;
      membership =
          new HeartbeatMembership(
              new MemberRecord(id, "127.0.0.1", 1, "dc1", incarnation, MemberStatus.ALIVE),
              MembershipSettings.defaults(),
              this,
              time,
              StallGuard.NONE,
              random,
              record -> {});
      time.schedule(Duration.ofMillis(random.nextInt(1000)), this::runPeriod);
    }

    boolean isRunning() {
      return !isCrashed && !isFrozen;
    }

    private void runPeriod() {
      if (isCrashed || nodes.get(id) != this) {
        return;
      }
      if (!isFrozen) {
        membership.tick();
      }
      time.schedule(Duration.ofMillis(950 + random.nextInt(100)), this::runPeriod);
    }

    @Override
    public Set<String> livePeerIds() {
      return membership.liveIds();
    }

    @Override
    public void send(String daemonId, PeerMessage message) {
      sentMessages++;
      boolean isLost = random.nextDouble() < lossRate || cutLinks.contains(id + ">" + daemonId);
      if (!isLost) {
        time.schedule(LATENCY, () -> deliver(daemonId, message));
      }
    }

    private void deliver(String daemonId, PeerMessage message) {
      Node target = nodes.get(daemonId);
      if (target.isRunning()) {
        target.handlers.get(message.getClass()).accept(id, message);
      }
    }

    @Override
    public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
      handlers.put(type, (sender, message) -> handler.accept(sender, type.cast(message)));
    }
  }
}
