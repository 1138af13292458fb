package org.galenapost.standins.link;

import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.link.LinkFaultRequests.Cut;
import org.galenapost.standins.link.LinkFaultRequests.CutDirection;
import org.galenapost.standins.link.LinkFaultRequests.Delay;
import org.galenapost.standins.link.LinkFaultRequests.Status;
import org.galenapost.standins.link.LinkFaultRequests.Target;
import org.galenapost.standins.relay.Direction;
import org.galenapost.standins.relay.Impairments;
import org.galenapost.standins.relay.RelayServer;
import org.galenapost.standins.relay.SocketAddresses;

/** Relays TCP connections to one target and breaks them on command. */
public final class LinkStandin implements Standin {

  private final int port;
  private final HttpServer control;
  private final Impairments impairment = new Impairments();
  private final RelayServer relay;
  private InetSocketAddress target;

  /**
   * Creates a link.
   *
   * @param port the port for clients, or 0 for a free one
   * @param controlPort the port of the switches, or 0 for a free one
   * @param target where connections go
   */
  public LinkStandin(int port, int controlPort, InetSocketAddress target) {
    this.port = port;
    this.control = HttpServer.onPort(controlPort);
    this.target = target;
    this.relay = new RelayServer(control.eventLoopGroup(), () -> List.of(this.target), impairment);
  }

  @Override
  public void start() {
    control.start(
        Routes.create()
            .on(GET, "/standin/status", this::status)
            .on(POST, "/standin/cut", FaultHandlers.withBody(Cut.class, change -> cut(change.direction())))
            .on(POST, "/standin/reset", FaultHandlers.withoutBody(relay::resetAll))
            .on(POST, "/standin/drop-answers", FaultHandlers.withoutBody(impairment::dropResponses))
            .on(POST, "/standin/heal", FaultHandlers.withoutBody(this::heal))
            .on(POST, "/standin/target", FaultHandlers.withBody(Target.class, this::retarget))
            .on(
                POST,
                "/standin/delay",
                FaultHandlers.withBody(Delay.class, change -> impairment.setDelayMs(change.delayMs()))));
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

  /** Holds the bytes of one direction back until the link is healed; from any thread. */
  public void block(Direction direction) {
    control.runOnEventLoop(
        () -> {
          impairment.block(direction);
          relay.applyImpairments();
        });
  }

  /** Delays all bytes; from any thread. */
  public void setDelay(Duration delay) {
    control.runOnEventLoop(() -> impairment.setDelayMs(delay.toMillis()));
  }

  /** Throws away all bytes from the target; from any thread. */
  public void dropResponses() {
    control.runOnEventLoop(impairment::dropResponses);
  }

  /** Resets every connection; from any thread. */
  public void resetConnections() {
    control.runOnEventLoop(relay::resetAll);
  }

  /** Ends all impairments; from any thread. */
  public void clearImpairments() {
    control.runOnEventLoop(this::heal);
  }

  /** Sends new connections elsewhere; from any thread. */
  public void setTarget(InetSocketAddress newTarget) {
    control.runOnEventLoop(() -> target = newTarget);
  }

  private void status(Exchange exchange) {
    String address = target.getAddress().getHostAddress() + ":" + target.getPort();
    exchange.replyOk(new Status(address, relay.connectionCount()));
  }

  private void cut(CutDirection direction) {
    if (direction != CutDirection.FROM_TARGET) {
      impairment.block(Direction.TO_TARGET);
    }
    if (direction != CutDirection.TO_TARGET) {
      impairment.block(Direction.FROM_TARGET);
    }
    relay.applyImpairments();
  }

  private void heal() {
    impairment.clear();
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
