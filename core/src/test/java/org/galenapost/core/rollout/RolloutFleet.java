package org.galenapost.core.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;

/** Daemons that send requests to the servers of one service, of which a new version appears. */
final class RolloutFleet {

  static final String SERVICE = "pool";
  static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, 5_000);
  static final ObjectKey KEY = new ObjectKey(RolloutOrder.KIND, SERVICE);

  private static final List<String> ROUTES = List.of("a", "b", "c");
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(10);

  final VirtualTime time = new VirtualTime();
  final FakePlatform platform = new FakePlatform();
  final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(2));
  final FakePlatform.Client operator = platform.newClient();
  final Map<String, Member> members = new TreeMap<>();
  final List<String> running = new ArrayList<>(List.of("v1"));
  final Map<String, Long> sends = new HashMap<>();
  final Map<String, Long> lastSendNanos = new HashMap<>();
  private final Random random;
  private final ServerModel servers;
  double lossShare;
  long requests;
  long badAnswers;
  Optional<Long> fiftiethBadNanos = Optional.empty();

  /** Tells how a server answers. */
  interface ServerModel {
    /** Returns the outcome of a send and the time that it takes. */
    Answer answer(String version, String route, Random random);
  }

  /** The end of a send. */
  record Answer(AnswerOutcome outcome, double ms, boolean isBad) {}

  /** One daemon and its client of the store. */
  record Member(Rollouts rollouts, FakePlatform.Client store) {}

  RolloutFleet(int daemons, long seed, ServerModel servers) {
    this.random = new Random(seed);
    this.servers = servers;
    for (int i = 0; i < daemons; i++) {
      start("d" + i);
    }
    scheduleRequest();
    scheduleWatchEnds();
  }

  void start(String id) {
    PeerBus bus = new LossyBus(network.join(id));
    FakePlatform.Client store = platform.newClient();
    RolloutEnvironment environment =
        new RolloutEnvironment(
            id,
            bus,
            time,
            time,
            time,
            random::nextDouble,
            SERVICE::equals,
            service -> service.equals(SERVICE) ? List.copyOf(running) : List.of(),
            new SilentListener());
    Rollouts rollouts = new Rollouts(environment, store, SETTINGS);
    members.put(id, new Member(rollouts, store));
    rollouts.start();
  }

  void kill(String id) {
    network.leave(id);
    members.remove(id).rollouts().stop();
  }

  void restart(String id) {
    kill(id);
    start(id);
  }

  void setStoreDown(boolean isDown) {
    members.values().forEach(member -> member.store().setDown(isDown));
  }

  /** Writes the order as an operator does; the status that is there stays out. */
  void order(String target, long withinMs) {
    Map<String, Object> spec = Map.of("service", SERVICE, "target", target, "within_ms", withinMs);
    orderRaw(KEY, Json.write(spec));
  }

  void orderRaw(ObjectKey key, String json) {
    long version = platform.read(key).map(VersionedObject::version).orElse(ObjectStore.ABSENT);
    operator.put(key, version, json).toCompletableFuture().join().get();
  }

  String state(ObjectKey key) {
    return platform
        .read(key)
        .flatMap(object -> RolloutDocuments.read(object).toJavaOptional())
        .flatMap(RolloutOrder::status)
        .map(status -> status.state() + " " + status.target())
        .orElse("none");
  }

  /** Returns the object as it is in the store, to describe a failed check. */
  String object() {
    return platform.read(KEY).map(VersionedObject::json).orElse("none");
  }

  String state() {
    return state(KEY);
  }

  long sendsTo(String version) {
    return sends.getOrDefault(version, 0L);
  }

  private void scheduleWatchEnds() {
    time.schedule(
        Duration.ofSeconds(5),
        () -> {
          platform.endWatches();
          scheduleWatchEnds();
        });
  }

  private void scheduleRequest() {
    time.schedule(
        REQUEST_INTERVAL,
        () -> {
          request();
          scheduleRequest();
        });
  }

  private Optional<String> anyOf(List<String> versions) {
    return versions.isEmpty()
        ? Optional.empty()
        : Optional.of(versions.get(random.nextInt(versions.size())));
  }

  private void request() {
    List<String> ids = List.copyOf(members.keySet());
    Rollouts rollouts = members.get(ids.get(random.nextInt(ids.size()))).rollouts();
    VersionShare share = rollouts.versions(SERVICE);
    Optional<String> version =
        share
            .preferred()
            .filter(running::contains)
            .or(() -> anyOf(running.stream().filter(v -> !share.denied().contains(v)).toList()));
    if (version.isEmpty()) {
      return;
    }
    requests++;
    sends.merge(version.get(), 1L, Long::sum);
    lastSendNanos.put(version.get(), time.nanos());
    String route = ROUTES.get(random.nextInt(ROUTES.size()));
    RolloutSend send = rollouts.onSend(SERVICE, version.get(), route, true);
    Answer answer = servers.answer(version.get(), route, random);
    time.schedule(
        Duration.ofMillis((long) answer.ms()),
        () -> {
          send.end(answer.outcome(), answer.ms());
          if (answer.isBad() && !version.get().equals("v1") && ++badAnswers == 50) {
            fiftiethBadNanos = Optional.of(time.nanos());
          }
        });
  }

  /** Drops a share of the messages. */
  private final class LossyBus implements PeerBus {

    private final PeerBus bus;

    LossyBus(PeerBus bus) {
      this.bus = bus;
    }

    @Override
    public Set<String> livePeerIds() {
      return bus.livePeerIds();
    }

    @Override
    public void send(String daemonId, PeerMessage message) {
      if (random.nextDouble() >= lossShare) {
        bus.send(daemonId, message);
      }
    }

    @Override
    public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
      bus.onMessage(type, handler);
    }
  }

  private static final class SilentListener implements RolloutListener {

    @Override
    public void onStage(RolloutOrder order, RolloutStage stage, String reason) {
      // The tests look at the status and at the sends.
    }

    @Override
    public void onStatusWrite(RolloutOrder order, RolloutState state, String error) {
      // The tests look at the status and at the sends.
    }
  }
}
