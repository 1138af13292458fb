package org.galenapost.standins.link;

import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.link.LinkFaultRequests.Cut;
import org.galenapost.standins.link.LinkFaultRequests.CutDirection;
import org.galenapost.standins.link.LinkFaultRequests.Delay;
import org.galenapost.standins.link.LinkFaultRequests.Status;
import org.galenapost.standins.link.LinkFaultRequests.Target;
import org.galenapost.standins.relay.Direction;
import org.galenapost.standins.relay.Impairments;
import org.galenapost.standins.relay.RelayServer;
import org.galenapost.standins.relay.SocketAddresses;

/** Relays TCP connections to one target and injects network faults. Any thread may set faults. */
public final class LinkStandin implements Standin {

  private final int port;
  private final HttpServer control;
  private final Impairments impairments = new Impairments();
  private final RelayServer relay;
  private InetSocketAddress target;

  /**
   * Creates a link.
   *
   * @param port the port for clients, or 0 for a free port
   * @param controlPort the port for requests that set faults, or 0 for a free port
   * @param target the address to which connections are relayed
   */
  public LinkStandin(int port, int controlPort, InetSocketAddress target) {
    this.port = port;
    this.control = HttpServer.onPort(controlPort);
    this.target = target;
    this.relay = new RelayServer(control.eventLoopGroup(), () -> List.of(this.target), impairments);
  }

  @Override
  public void start() {
    control.start(
        Routes.create()
            .on(GET, "/standin/status", this::status)
            .on(
                POST,
                "/standin/cut",
                FaultHandlers.withBody(Cut.class, change -> cut(change.direction())))
            .on(POST, "/standin/reset", FaultHandlers.withoutBody(relay::resetAll))
            .on(
                POST,
                "/standin/drop-answers",
                FaultHandlers.withoutBody(impairments::dropResponses))
            .on(POST, "/standin/heal", FaultHandlers.withoutBody(this::heal))
            .on(POST, "/standin/target", FaultHandlers.withBody(Target.class, this::retarget))
            .on(
                POST,
                "/standin/delay",
                FaultHandlers.withBody(
                    Delay.class, change -> impairments.setDelayMs(change.delayMs()))));
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
    control.stop();
  }

  /** Holds back the bytes of one direction until the impairments are cleared. */
  public void block(Direction direction) {
    control.runOnEventLoop(
        () -> {
          impairments.block(direction);
          relay.applyImpairments();
        });
  }

  /** Delays all bytes in both directions. */
  public void setDelay(Duration delay) {
    control.runOnEventLoop(() -> impairments.setDelayMs(delay.toMillis()));
  }

  /** Discards all bytes from the target. */
  public void dropResponses() {
    control.runOnEventLoop(impairments::dropResponses);
  }

  /** Resets every connection. */
  public void resetConnections() {
    control.runOnEventLoop(relay::resetAll);
  }

  /** Clears all impairments and resets the connections that lost bytes. */
  public void clearImpairments() {
    control.runOnEventLoop(this::heal);
  }

  /** Relays new connections to another target. */
  public void setTarget(InetSocketAddress newTarget) {
    control.runOnEventLoop(() -> target = newTarget);
  }

  private void status(Exchange exchange) {
    String address = target.getAddress().getHostAddress() + ":" + target.getPort();
    exchange.replyOk(new Status(address, relay.connectionCount()));
  }

  private void cut(CutDirection direction) {
    if (direction != CutDirection.FROM_TARGET) {
      impairments.block(Direction.TO_TARGET);
    }
    if (direction != CutDirection.TO_TARGET) {
      impairments.block(Direction.FROM_TARGET);
    }
    relay.applyImpairments();
  }

  private void heal() {
    impairments.clear();
    relay.resetConnectionsWithLostBytes();
    relay.applyImpairments();
  }

  private void retarget(Target change) {
    try {
      target = SocketAddresses.parseLoopback(String.valueOf(change.target()));
    } catch (IllegalArgumentException e) {
      throw HttpError.badRequest(e.getMessage());
    }
  }
}
