package org.galenapost.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.prompt.HeldPromptsExchange;
import org.galenapost.core.prompt.PromptPart;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.testing.FakeNetwork;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/**
 * Plays sessions that come back, at engines that keep the prompts that they read as long as their
 * runs leave memory, before two daemons of a cell. A prompt has 200 tokens of one of a few shared
 * parts, and 2,000 to 14,400 tokens of its session. Guards against a preference that saves little,
 * or that saves tokens at the cost of the time to the first event.
 */
class ReturningSessionsTest {

  private static final long MEMORY_TOKENS = 88_000;
  private static final double PROMPT_TOKENS_PER_MS = 8;
  private static final int SERVERS = 8;
  private static final int SHARED_PARTS = 4;
  private static final int OUTPUT_TOKENS = 800;
  private static final int CALLS = 3_000;

  @Test
  void readsFewerTokensAndAnswersSoonerIfSessionsComeBack() {
    Figures off = new Play(false, 60, 260, 11).run();
    Figures on = new Play(true, 60, 260, 11).run();

    report("sessions come back", off, on);
    assertThat(on.readTokens()).isLessThan(off.readTokens() * 7 / 10);
    assertThat(on.meanFirstEventMs()).isLessThan(off.meanFirstEventMs());
    assertThat(on.firstEventMs(0.95)).isLessThanOrEqualTo(off.firstEventMs(0.95));
  }

  @Test
  void costsNothingIfNoSessionComesBack() {
    Figures off = new Play(false, Integer.MAX_VALUE, 260, 12).run();
    Figures on = new Play(true, Integer.MAX_VALUE, 260, 12).run();

    report("no session comes back", off, on);
    assertThat(on.readTokens()).isLessThanOrEqualTo(off.readTokens());
    assertThat(on.meanFirstEventMs()).isLessThan(1.05 * off.meanFirstEventMs());
    assertThat(on.firstEventMs(0.95)).isLessThan(1.05 * off.firstEventMs(0.95));
  }

  @Test
  void staysAsFastIfTwoSessionsSendAllCalls() {
    Figures off = new Play(false, 2, 180, 13).run();
    Figures on = new Play(true, 2, 180, 13).run();

    report("two sessions", off, on);
    assertThat(on.readTokens()).isLessThanOrEqualTo(off.readTokens());
    assertThat(on.meanFirstEventMs()).isLessThanOrEqualTo(1.05 * off.meanFirstEventMs());
    assertThat(on.firstEventMs(0.95)).isLessThanOrEqualTo(1.05 * off.firstEventMs(0.95));
  }

  @Test
  void staysAsFastIfRunsTakeMostOfTheMemory() {
    Figures off = new Play(false, 40, 180, 14, Duration.ofSeconds(11)).run();
    Figures on = new Play(true, 40, 180, 14, Duration.ofSeconds(11)).run();

    report("memory is short", off, on);
    assertThat(on.readTokens()).isLessThanOrEqualTo(off.readTokens());
    assertThat(on.meanFirstEventMs()).isLessThanOrEqualTo(1.05 * off.meanFirstEventMs());
    assertThat(on.firstEventMs(0.95)).isLessThanOrEqualTo(1.05 * off.firstEventMs(0.95));
  }

  private static void report(String play, Figures off, Figures on) {
    for (Figures figures : List.of(off, on)) {
      System.out.printf(
          "%s, preference %s: tokens read %d, first event mean %.0f ms, p95 %.0f ms%n",
          play,
          figures == off ? "off" : "on",
          figures.readTokens(),
          figures.meanFirstEventMs(),
          figures.firstEventMs(0.95));
    }
  }

  private record Figures(long readTokens, List<Double> firstEventsMs) {

    double meanFirstEventMs() {
      return firstEventsMs.stream().mapToDouble(ms -> ms).average().orElseThrow();
    }

    double firstEventMs(double quantile) {
      List<Double> sorted = new ArrayList<>(firstEventsMs);
      Collections.sort(sorted);
      return sorted.get((int) (quantile * (sorted.size() - 1)));
    }
  }

  /** An engine that reads one prompt after the other and evicts what runs leave no memory for. */
  private static final class Engine {
    private final Map<Long, Long> held = new LinkedHashMap<>(16, 0.75f, true);
    private long runTokens;
    private long freeAtNanos;

    long read(CallDemand demand) {
      long unread = demand.promptTokens();
      boolean isHeld = true;
      for (PromptPart part : demand.promptParts()) {
        isHeld = isHeld && held.containsKey(part.idHash());
        unread -= isHeld ? part.tokens() : 0;
      }
      runTokens += demand.memoryTokens();
      demand.promptParts().forEach(part -> held.put(part.idHash(), part.tokens()));
      evict();
      return unread;
    }

    private void evict() {
      long heldTokens = held.values().stream().mapToLong(tokens -> tokens).sum();
      Iterator<Long> eldest = held.values().iterator();
      while (heldTokens > Math.max(0, MEMORY_TOKENS - runTokens) && eldest.hasNext()) {
        heldTokens -= eldest.next();
        eldest.remove();
      }
    }
  }

  private static final class Daemon {
    private final ServerUseTracker useTracker = new ServerUseTracker();
    private InstanceChooser chooser;
    private HeldPromptsExchange exchange;
    private PeerBus bus;
  }

  private static final class Play {
    private final VirtualTime time = new VirtualTime();
    private final FakeNetwork network = new FakeNetwork(time, Duration.ofMillis(1));
    private final Random random;
    private final int sessions;
    private final double callGapMs;
    private final TargetService service =
        new TargetService("pool", 800, Optional.of(new EngineMemory(MEMORY_TOKENS, false)));
    private final Map<InstanceKey, Engine> engines = new HashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Double> firstEventsMs = new ArrayList<>();
    private final Duration answerTime;
    private long readTokens;

    Play(boolean prefersHeldPrompts, int sessions, double callGapMs, long seed) {
      this(prefersHeldPrompts, sessions, callGapMs, seed, Duration.ofSeconds(4));
    }

    Play(
        boolean prefersHeldPrompts,
        int sessions,
        double callGapMs,
        long seed,
        Duration answerTime) {
      this.answerTime = answerTime;
      this.sessions = sessions;
      this.callGapMs = callGapMs;
      this.random = new Random(seed);
      InstanceDirectory directory =
          new InstanceDirectory(
              time, new PlatformReachability(time, is -> {}), Duration.ofSeconds(1), change -> {});
      for (int server = 0; server < SERVERS; server++) {
        ServerInstance instance =
            new ServerInstance("e" + server, 1, 0, "pool", "10.0.0.1", 80, "dc1", 64, false, "v1");
        engines.put(instance.key(), new Engine());
        directory.applyChange(
            new ConfigurationRecord(
                ConfigurationKind.INSTANCE,
                instance.id(),
                server + 1L,
                Optional.of(Json.write(instance))));
      }
      daemons.add(newDaemon("d1", directory, prefersHeldPrompts));
      daemons.add(newDaemon("d2", directory, prefersHeldPrompts));
    }

    private Daemon newDaemon(String id, InstanceDirectory directory, boolean prefersHeldPrompts) {
      Daemon daemon = new Daemon();
      HeldPrompts held = new HeldPrompts(time);
      Random jitter = new Random(id.hashCode());
      daemon.bus = network.join(id);
      daemon.exchange = new HeldPromptsExchange(held, daemon.bus, time);
      daemon.exchange.start();
      daemon.bus.onMessage(UseReport.class, daemon.useTracker::applyReport);
      daemon.useTracker.onChange(
          () ->
              time.schedule(
                  Duration.ofMillis(50),
                  () -> daemon.useTracker.pollChangedReport().forEach(daemon.bus::broadcast)));
      daemon.chooser =
          new InstanceChooser(
              "dc1",
              directory,
              server -> true,
              new ServerObservations(
                  daemon.useTracker,
                  new ServerSpeeds(daemon.bus, time, time),
                  new RunTimes(),
                  new InstanceHealth(time, Duration.ofSeconds(4)),
                  new RequestedPauses(time),
                  server -> false),
              jitter::nextDouble,
              prefersHeldPrompts ? new HeldPromptSavings(held) : PromptSavings.NONE,
              () -> true);
      return daemon;
    }

    Figures run() {
      for (int call = 0; call < CALLS; call++) {
        double gapMs = -Math.log(1 - random.nextDouble()) * callGapMs;
        time.advance(Duration.ofNanos((long) (gapMs * 1e6)));
        int session = sessions == Integer.MAX_VALUE ? call : random.nextInt(sessions);
        send(daemons.get(random.nextInt(daemons.size())), demand(session));
      }
      time.advance(Duration.ofMinutes(5));
      assertThat(firstEventsMs).hasSize(CALLS);
      return new Figures(readTokens, firstEventsMs);
    }

    private static CallDemand demand(int session) {
      long ownTokens = 2_000 + session * 7_919L % 12_400;
      return new CallDemand(
          200 + ownTokens,
          OUTPUT_TOKENS,
          List.of(
              new PromptPart(session % SHARED_PARTS, 200),
              new PromptPart(1_000 + session, ownTokens)));
    }

    private void send(Daemon daemon, CallDemand demand) {
      InstanceChooser.Choice choice =
          daemon
              .chooser
              .choose(service, demand, ServerConstraint.excluding(Set.of()))
              .orElseThrow();
      InstanceKey server = choice.instance().key();
      Engine engine = engines.get(server);
      long unread = demand.promptTokens() - (long) choice.savedTokens();
      ServerUseTracker.Reservation reservation =
          daemon.useTracker.reserve(server, new ServerUse(1, unread, demand.memoryTokens()));
      long sentNanos = time.nanos();
      long beginNanos = Math.max(sentNanos, engine.freeAtNanos);
      long tokens = engine.read(demand);
      readTokens += tokens;
      engine.freeAtNanos = beginNanos + (long) (tokens / PROMPT_TOKENS_PER_MS * 1e6);
      time.schedule(
          Duration.ofNanos(engine.freeAtNanos - sentNanos),
          () -> {
            firstEventsMs.add((time.nanos() - sentNanos) / 1e6);
            reservation.markPromptProcessed();
            daemon.exchange.onPromptRead(server, demand.promptParts());
            time.schedule(
                answerTime,
                () -> {
                  reservation.release();
                  engine.runTokens -= demand.memoryTokens();
                });
          });
    }
  }
}
