package org.galenapost.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.testing.FakePeers;
import org.galenapost.core.testing.VirtualTime;

/**
 * Plays a fleet under load in virtual time: some requests hold a part that crashes each server that
 * begins to answer them, and data centres crash as well.
 */
class PromptPartQuarantineProperties {

  private static final String DEADLY = "dead";
  private static final int DAEMONS = 6;
  private static final int DATA_CENTRES = 3;
  private static final int SERVERS = 18;
  private static final int TOLERATED_CRASHES = 5;
  private static final int TOLERATED_SENDS = 3;
  private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(120);
  private static final Duration PROMPT_TIME = Duration.ofMillis(1_000);
  private static final Duration PROOF_TIME = Duration.ofMillis(430);
  private static final Duration RESTART_TIME = Duration.ofSeconds(3);
  private static final Duration DATA_CENTRE_CRASH_INTERVAL = Duration.ofMillis(6_500);
  private static final Duration DAY = Duration.ofSeconds(40);

  /** After this time since the fifth crash, at most three more sends are tolerated. */
  private static final Duration REACTION_TIME = Duration.ofSeconds(3);

  @Property(tries = 60, seed = "2412")
  void stopsTheDeadlyPartInTimeAndNoSoundRequest(
      @ForAll @IntRange(min = 5, max = 50) int deadlyPercent,
      @ForAll @IntRange(min = 1, max = 40) int firstParts,
      @ForAll @IntRange(min = 1, max = 1_000) int secondParts,
      @ForAll long seed) {
    Fleet fleet = new Fleet(seed);
    fleet.scheduleArrivals(deadlyPercent, firstParts, secondParts);
    fleet.scheduleDataCentreCrashes();

    fleet.time.advance(DAY);

    assertThat(fleet.lateSends)
        .as("late sends with the deadly part")
        .isLessThanOrEqualTo(TOLERATED_SENDS);
    assertThat(fleet.refusedSoundRequests)
        .as("refused of %d sound requests", fleet.soundRequests)
        .isZero();
  }

  private static final class Fleet {
    private final VirtualTime time = new VirtualTime();
    private final List<PromptPartQuarantine> daemons = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Random random;
    private int nextServerNumber;
    private int nextRequestNumber;
    private int crashes;
    private long lateSince = Long.MAX_VALUE;
    private int lateSends;
    private int soundRequests;
    private int refusedSoundRequests;

    Fleet(long seed) {
      random = new Random(seed);
      FakePeers peers = new FakePeers();
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        PromptPartQuarantine quarantine =
            new PromptPartQuarantine(
                peers.bus("d" + daemon),
                time,
                time,
                random::nextDouble,
                PromptPartQuarantine.Listener.NONE);
        quarantine.start();
        daemons.add(quarantine);
      }
      for (int server = 0; server < SERVERS; server++) {
        servers.add(new Server(server % DATA_CENTRES, newServerId()));
      }
    }

    private String newServerId() {
      return "s" + nextServerNumber++;
    }

    void scheduleArrivals(int deadlyPercent, int firstParts, int secondParts) {
      time.schedule(
          ARRIVAL_INTERVAL,
          () -> {
            boolean isDeadly = random.nextInt(100) < deadlyPercent;
            String firstPart = "first" + random.nextInt(firstParts);
            String secondPart = isDeadly ? DEADLY : "second" + random.nextInt(secondParts);
            nextRequestNumber++;
            soundRequests += isDeadly ? 0 : 1;
            dispatch(
                new Request(daemons.get(random.nextInt(DAEMONS)), List.of(firstPart, secondPart)));
            scheduleArrivals(deadlyPercent, firstParts, secondParts);
          });
    }

    void scheduleDataCentreCrashes() {
      time.schedule(
          DATA_CENTRE_CRASH_INTERVAL,
          () -> {
            int dataCentre = random.nextInt(DATA_CENTRES);
            servers.stream()
                .filter(server -> server.isUp && server.dataCentre == dataCentre)
                .toList()
                .forEach(this::crash);
            scheduleDataCentreCrashes();
          });
    }

    private void dispatch(Request request) {
      if (request.daemon.check(request.partIds).isPresent()) {
        refusedSoundRequests += request.isDeadly() ? 0 : 1;
        return;
      }
      List<Server> up = servers.stream().filter(server -> server.isUp).toList();
      if (up.isEmpty()) {
        return;
      }
      Server server = up.get(random.nextInt(up.size()));
      if (request.isDeadly() && time.nanos() > lateSince) {
        lateSends++;
      }
      server.requests.add(request);
      long send = ++request.sends;
      time.schedule(PROMPT_TIME, () -> beginAnswer(server, request, send));
    }

    private void beginAnswer(Server server, Request request, long send) {
      if (request.sends != send || !server.requests.contains(request)) {
        return;
      }
      if (request.isDeadly()) {
        crash(server);
        crashes++;
        if (crashes == TOLERATED_CRASHES) {
          lateSince = time.nanos() + REACTION_TIME.toNanos();
        }
        return;
      }
      time.schedule(PROOF_TIME, () -> answer(server, request, send));
    }

    private void answer(Server server, Request request, long send) {
      if (request.sends == send && server.requests.contains(request)) {
        request.isAnswered = true;
        request.daemon.onAnswered(request.partIds);
      }
    }

    private void crash(Server server) {
      List<Request> lost = List.copyOf(server.requests);
      String lostId = server.id;
      server.requests.clear();
      server.isUp = false;
      for (Request request : lost) {
        List<String> unanswered = request.isAnswered ? List.of() : request.partIds;
        time.schedule(
            Duration.ofMillis(random.nextInt(150)),
            () -> request.daemon.onServerLost(lostId, unanswered));
        time.schedule(Duration.ofMillis(10), () -> dispatch(request));
      }
      time.schedule(
          RESTART_TIME,
          () -> {
            server.id = newServerId();
            server.isUp = true;
          });
    }
  }

  private static final class Server {
    private final int dataCentre;
    private final Set<Request> requests = new LinkedHashSet<>();
    private String id;
    private boolean isUp = true;

    Server(int dataCentre, String id) {
      this.dataCentre = dataCentre;
      this.id = id;
    }
  }

  private static final class Request {
    private final PromptPartQuarantine daemon;
    private final List<String> partIds;
    private boolean isAnswered;
    private long sends;

    Request(PromptPartQuarantine daemon, List<String> partIds) {
      this.daemon = daemon;
      this.partIds = partIds;
    }

    boolean isDeadly() {
      return partIds.contains(DEADLY);
    }
  }
}
