package org.galenapost.standins.gateway;

import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.RequestHandler;

/** An additional address of the store whose clients can be given faults of their own. */
public final class StoreEndpoint implements Standin {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server = HttpServer.onPort(0);
  private final RequestHandler store;
  private volatile FaultMode faultMode = FaultMode.SERVED;

  /** How the endpoint handles calls. */
  public enum FaultMode {
    /** The store handles them. */
    SERVED,
    /** It rejects them with status 503. */
    REFUSED,
    /** It rejects them with status 429. */
    RATE_LIMITED,
    /** It resets their connections. */
    RESET,
    /** It sends no response. */
    UNANSWERED
  }

  StoreEndpoint(RequestHandler store) {
    this.store = store;
  }

  @Override
  public void start() {
    server.start(this::handle);
  }

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    server.stop();
  }

  /**
   * Sets how calls are handled. Open connections are closed unless the new mode is {@link
   * FaultMode#SERVED} or {@link FaultMode#UNANSWERED}.
   */
  public void setFaultMode(FaultMode newMode) {
    faultMode = newMode;
    if (newMode != FaultMode.SERVED && newMode != FaultMode.UNANSWERED) {
      server.runOnEventLoop(server::closeConnections);
    }
  }

  private void handle(Exchange exchange) {
    switch (faultMode) {
      case REFUSED -> exchange.replyError(UNAVAILABLE, "the store is down");
      case RATE_LIMITED -> exchange.replyError(TOO_MANY_REQUESTS, "too many calls");
      case RESET -> exchange.reset();
      case UNANSWERED -> {}
      default -> store.handle(exchange);
    }
  }
}
