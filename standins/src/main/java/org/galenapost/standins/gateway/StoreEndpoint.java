package org.galenapost.standins.gateway;

import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.RequestHandler;

/** An address of the store for some machines alone, which may be turned away. */
public final class StoreEndpoint implements Standin {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server = HttpServer.onPort(0);
  private final RequestHandler store;
  private volatile FaultMode faultMode = FaultMode.SERVED;

  /** How the machines behind a door are treated. */
  public enum FaultMode {
    /** As everybody else. */
    SERVED,
    /** Each call is told that the store is down. */
    REFUSED,
    /** Each call is told that there are too many. */
    RATE_LIMITED,
    /** Each call is reset. */
    RESET,
    /** No call is answered. */
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

  /** Switches how calls are treated; connections in use are closed unless they are to be served. */
  public void setFaultMode(FaultMode newTreatment) {
    faultMode = newTreatment;
    if (newTreatment != FaultMode.SERVED && newTreatment != FaultMode.UNANSWERED) {
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
