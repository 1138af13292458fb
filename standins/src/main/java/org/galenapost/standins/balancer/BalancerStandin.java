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

/** Spreads TCP connections round robin over the targets that are ready. */
public final class BalancerStandin implements Standin {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  private final int port;
  private final HttpServer control;
  private final HealthChecker health;
  private final RelayServer relay;
  private int nextIndex;

  /**
   * Creates a balancer.
   *
   * @param port the port for clients, or 0 for a free one
   * @param controlPort the port that shows and sets the targets, or 0 for a free one
   * @param targets the daemons
   */
  public BalancerStandin(int port, int controlPort, List<BalancedTarget> targets) {
    this.port = port;
    this.control = HttpServer.onPort(controlPort);
    this.health = new HealthChecker(control.eventLoop(), CHECK_INTERVAL, 1, targets);
    this.relay = new RelayServer(control.eventLoopGroup(), this::candidates, new Impairments());
  }

  @Override
  public void start() {
    control.start(
        Routes.create()
            .on(GET, "/standin/targets", this::show)
            .on(PUT, "/standin/targets", this::change));
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

  private void show(Exchange exchange) {
    List<TargetState> states =
        health.targets().stream()
            .map(target -> new TargetState(target.text(), health.isReady(target)))
            .toList();
    exchange.replyOk(new TargetStates(states));
  }

  private void change(Exchange exchange) {
    try {
      List<TargetState> wanted = exchange.body(TargetStates.class).targets();
      health.setTargets(
          wanted.stream().map(TargetState::target).map(BalancedTarget::parse).toList());
    } catch (IllegalArgumentException e) {
      throw HttpError.badRequest(e.getMessage());
    }
    show(exchange);
  }

  /**
   * All targets.
   *
   * @param targets the targets
   */
  record TargetStates(List<TargetState> targets) {
    TargetStates {
      targets = targets == null ? List.of() : List.copyOf(targets);
    }
  }

  /**
   * One target.
   *
   * @param target its text form
   * @param ready whether it was ready at the last check
   */
  record TargetState(String target, boolean ready) {}
}
