package org.galenapost.standins.balancer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.relay.Impairments;
import org.galenapost.standins.relay.RelayServer;

/**
 * The entry host of the platform, a load balancer with health checks. It checks the readiness of
 * each daemon once a second and ejects a daemon from rotation after two failed checks in a row.
 * Each connection goes to a random daemon in rotation, or to any daemon if fewer than half are in
 * rotation.
 */
public final class EntryStandin implements Standin {

  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final int UNHEALTHY_THRESHOLD = 2;

  private final HttpServer server = HttpServer.onPort(0);
  private final HealthChecker health;
  private final RelayServer relay;
  private final Random random;

  /**
   * Creates an entry host.
   *
   * @param targets the daemons to distribute connections over
   * @param seed the seed of the random choice of a daemon
   */
  public EntryStandin(List<BalancedTarget> targets, long seed) {
    this.health =
        new HealthChecker(server.eventLoop(), CHECK_INTERVAL, UNHEALTHY_THRESHOLD, targets);
    this.relay = new RelayServer(server.eventLoopGroup(), this::candidates, new Impairments());
    this.random = new Random(seed);
  }

  @Override
  public void start() {
    health.start();
    relay.start(0);
  }

  @Override
  public int port() {
    return relay.port();
  }

  @Override
  public void stop() {
    relay.stop();
    health.stop();
    server.stop();
  }

  /** Returns the number of daemons in rotation. */
  public int countInRotation() {
    return server.callOnEventLoop(() -> health.readyTargets().size());
  }

  private List<InetSocketAddress> candidates() {
    List<BalancedTarget> ready = health.readyTargets();
    boolean areMostEjected = 2 * ready.size() < health.targets().size();
    List<BalancedTarget> rotation = new ArrayList<>(areMostEjected ? health.targets() : ready);
    Collections.shuffle(rotation, random);
    return rotation.stream().map(BalancedTarget::address).toList();
  }
}
