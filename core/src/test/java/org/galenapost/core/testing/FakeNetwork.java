package org.galenapost.core.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.time.Scheduler;

/** Delivers messages between daemons in virtual time; each direction can be cut separately. */
public final class FakeNetwork {

  private final Scheduler scheduler;
  private final Duration latency;
  private final Map<String, Bus> buses = new TreeMap<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private long sentMessages;

  /** Creates a network with the same latency for every message. */
  public FakeNetwork(Scheduler scheduler, Duration latency) {
    this.scheduler = scheduler;
    this.latency = latency;
  }

  /** Adds a daemon, replacing one with the same id. */
  public PeerBus join(String daemonId) {
    Bus bus = new Bus(daemonId);
    buses.put(daemonId, bus);
    return bus;
  }

  /** Removes a daemon, which no other one takes for alive then. */
  public void leave(String daemonId) {
    buses.remove(daemonId);
  }

  /** Drops all messages in one direction. */
  public void cut(String from, String to) {
    cutLinks.add(new Link(from, to));
  }

  /** Removes all cuts. */
  public void healAll() {
    cutLinks.clear();
  }

  /** Returns the number of messages sent. */
  public long sentMessages() {
    return sentMessages;
  }

  private void deliver(String from, String to, PeerMessage message) {
    Bus target = buses.get(to);
    if (target != null && !cutLinks.contains(new Link(from, to))) {
      target.receive(from, message);
    }
  }

  private record Link(String from, String to) {}

  private final class Bus implements PeerBus {

    private final String ownId;
    private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> handlers = new HashMap<>();

    Bus(String ownId) {
      this.ownId = ownId;
    }

    @Override
    public Set<String> livePeerIds() {
      Set<String> peers = new TreeSet<>(buses.keySet());
      peers.remove(ownId);
      return peers;
    }

    @Override
    public void send(String daemonId, PeerMessage message) {
      sentMessages++;
      scheduler.schedule(latency, () -> deliver(ownId, daemonId, message));
    }

    @Override
    public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
      handlers
          .computeIfAbsent(type, t -> new ArrayList<>())
          .add((sender, message) -> handler.accept(sender, type.cast(message)));
    }

    void receive(String from, PeerMessage message) {
      handlers.getOrDefault(message.getClass(), List.of()).forEach(h -> h.accept(from, message));
    }
  }
}
