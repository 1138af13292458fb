package org.galenapost.standins.balancer;

import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.PUT;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.relay.Impairments;
import org.galenapost.standins.relay.RelayServer;

/** A load balancer that distributes TCP connections round robin over the ready targets. */
public final class BalancerStandin implements Standin {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
  private static final int UNHEALTHY_THRESHOLD = 1;

  private final int port;
  private final HttpServer control;
  private final HealthChecker health;
  private final RelayServer relay;
  private int nextIndex;

  /**
   * Creates a load balancer.
   *
   * @param port the loopback port for clients, or 0 for a free one
   * @param controlPort the port that shows and sets the targets, or 0 for a free one
   * @param targets the daemons to distribute connections over
   */
  public BalancerStandin(int port, int controlPort, List<BalancedTarget> targets) {
    this.port = port;
    this.control = HttpServer.onPort(controlPort);
    this.health =
        new HealthChecker(control.eventLoop(), CHECK_INTERVAL, UNHEALTHY_THRESHOLD, targets);
    this.relay = new RelayServer(control.eventLoopGroup(), this::candidates, new Impairments());
  }

  @Override
  public void start() {
    control.start(
        Routes.create()
            .on(GET, "/standin/targets", this::replyWithTargets)
            .on(PUT, "/standin/targets", this::replaceTargets));
    health.start();
    relay.start(port);
  }

  @Override
  public int port() {
    return relay.port();
  }

  @Override
  public OptionalInt controlPort() {
    return OptionalInt.of(control.port());
  }

  @Override
  public void stop() {
    relay.stop();
    health.stop();
    control.stop();
  }

  private List<InetSocketAddress> candidates() {
    List<BalancedTarget> ready = health.readyTargets();
    if (!ready.isEmpty()) {
      Collections.rotate(ready, -Math.floorMod(nextIndex++, ready.size()));
    }
    return ready.stream().map(BalancedTarget::address).toList();
  }

  private void replyWithTargets(Exchange exchange) {
    List<TargetState> states =
        health.targets().stream()
            .map(target -> new TargetState(target.text(), health.isReady(target)))
            .toList();
    exchange.replyOk(new TargetStates(states));
  }

  private void replaceTargets(Exchange exchange) {
    try {
      List<TargetState> requested = exchange.body(TargetStates.class).targets();
      health.setTargets(
          requested.stream().map(TargetState::target).map(BalancedTarget::parse).toList());
    } catch (IllegalArgumentException e) {
      throw HttpError.badRequest(e.getMessage());
    }
    replyWithTargets(exchange);
  }

  /**
   * The body that lists all targets.
   *
   * @param targets the targets
   */
  record TargetStates(List<TargetState> targets) {
    TargetStates {
      targets = targets == null ? List.of() : List.copyOf(targets);
    }
  }

  /**
   * The state of one target.
   *
   * @param target the target as text, such as {@code 127.0.0.1:9001@9101}
   * @param ready whether the target was ready at the last check; ignored when targets are set
   */
  record TargetState(String target, boolean ready) {}
}
