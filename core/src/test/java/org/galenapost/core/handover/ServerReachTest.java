package org.galenapost.core.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A daemon that finds out whether it reaches the servers of a service. */
class ServerReachTest {

  private static final Duration PROBE_TIME = Duration.ofMillis(150);
  private static final Duration RETURN_TIME = Duration.ofSeconds(2);

  private final VirtualTime time = new VirtualTime();
  private final InstanceDirectory directory =
      new InstanceDirectory(
          time,
          new PlatformReachability(time, isReached -> {}),
          Duration.ofSeconds(1),
          change -> {});
  private final Set<ServerInstance> unreachable = new HashSet<>();
  private final List<ServerInstance> servers = new ArrayList<>();
  private final List<String> changes = new ArrayList<>();
  private final Random random = new Random(1_207);
  private int probeCount;
  private final ServerReach reach =
      new ServerReach(
          directory,
          this::probe,
          time,
          time,
          random::nextDouble,
          (service, isReached) -> changes.add(service + " " + isReached));

  @BeforeEach
  void announceServers() {
    for (int i = 0; i < 13; i++) {
      ServerInstance server =
          new ServerInstance("i" + i, 1, 0, "pool", "10.0.0." + i, 80, "dc1", 6, false, "v1");
      servers.add(server);
      directory.applyChange(
          new ConfigurationRecord(
              ConfigurationKind.INSTANCE, server.id(), i + 1, Optional.of(Json.write(server))));
    }
  }

  @Test
  void noticesThatNoServerIsReachedAfterTheSecondFailure() {
    unreachable.addAll(servers);

    reach.recordFailure(servers.get(0));
    time.advance(PROBE_TIME);
    assertThat(reach.isReached("pool")).isTrue();
    assertThat(probeCount).as("probes for one failure").isZero();

    reach.recordFailure(servers.get(1));
    time.advance(PROBE_TIME);
    assertThat(reach.isReached("pool")).isFalse();
    assertThat(reach.unreachedServices()).containsExactly("pool");
  }

  @Test
  void doesNotTakeTheLossOfOneServerForTheLossOfAll() {
    unreachable.add(servers.get(0));

    for (int i = 0; i < 50; i++) {
      reach.recordFailure(servers.get(0));
      time.advance(Duration.ofMillis(100));
    }

    assertThat(changes).isEmpty();
    assertThat(probeCount).isZero();
  }

  @Test
  void keepsTheServiceWhileOtherServersAcceptConnections() {
    unreachable.addAll(servers.subList(0, 2));

    reach.recordFailure(servers.get(0));
    reach.recordFailure(servers.get(1));
    time.advance(RETURN_TIME);

    assertThat(changes).isEmpty();
  }

  @Test
  void returnsOnlyOnceServersAcceptConnectionsSeveralTimes() {
    unreachable.addAll(servers);
    reach.check("pool");
    time.advance(PROBE_TIME);

    unreachable.clear();
    time.advance(Duration.ofMillis(600));
    assertThat(reach.isReached("pool")).as("after the first success").isFalse();
    time.advance(RETURN_TIME);

    assertThat(changes).containsExactly("pool false", "pool true");
  }

  @Test
  void reportsToThoseWhoWaitForTheCheck() {
    List<Boolean> results = new ArrayList<>();
    unreachable.addAll(servers.subList(1, servers.size()));
    reach.check("pool", results::add);
    reach.check("pool", results::add);
    time.advance(PROBE_TIME.multipliedBy(4));
    int answered = results.size();
    unreachable.addAll(servers);
    reach.check("pool", results::add);
    time.advance(PROBE_TIME);

    assertThat(answered).isEqualTo(2);
    assertThat(results).hasSize(3).endsWith(false);
  }

  @Test
  void boundsItsProbesWhileServersFail() {
    for (int i = 0; i < 100; i++) {
      reach.recordFailure(servers.get(i % servers.size()));
      time.advance(Duration.ofMillis(10));
    }

    assertThat(probeCount).as("probes in a second").isLessThanOrEqualTo(12);
  }

  @Test
  void checksServiceWithOneServerAfterItsFailure() {
    ServerInstance only =
        new ServerInstance("only", 1, 0, "app", "10.0.1.1", 80, "dc1", 6, false, "v1");
    directory.applyChange(
        new ConfigurationRecord(
            ConfigurationKind.INSTANCE, "only", 99, Optional.of(Json.write(only))));
    unreachable.add(only);

    reach.recordFailure(only);
    time.advance(PROBE_TIME);

    assertThat(reach.isReached("app")).isFalse();
    assertThat(reach.isReached("pool")).isTrue();
  }

  private void probe(ServerInstance server, Consumer<Boolean> onResult) {
    probeCount++;
    if (unreachable.contains(server)) {
      time.schedule(PROBE_TIME, () -> onResult.accept(false));
    } else {
      time.schedule(Duration.ofMillis(3), () -> onResult.accept(true));
    }
  }
}
