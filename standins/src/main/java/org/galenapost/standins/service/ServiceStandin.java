package org.galenapost.standins.service;

import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.service.ServiceSwitches.Delay;
import org.galenapost.standins.service.ServiceSwitches.NextCalls;
import org.galenapost.standins.service.ServiceSwitches.Refuse;

/** A plain service that echoes each call and counts the runs of each idempotency key. */
public final class ServiceStandin implements Standin {

  private static final int UNAVAILABLE = 503;
  private static final String NO_KEY = "";

  private final HttpServer server;
  private final Runnable halt;
  private final Map<String, Long> runsByKey = new TreeMap<>();
  private long delayMs;
  private int responsesToDrop;
  private int pendingCrashes;
  private Refuse refuse = new Refuse(0, UNAVAILABLE);

  /**
   * Creates a service.
   *
   * @param port the loopback port, or 0 for a free one
   * @param halt ends the process at once, without a response to any open call
   */
  public ServiceStandin(int port, Runnable halt) {
    this.server = HttpServer.onPort(port);
    this.halt = halt;
  }

  @Override
  public void start() {
    server.start(
        Routes.create()
            .on(GET, "/health", e -> e.replyOk(new Health("ok")))
            .on(GET, "/standin/runs", e -> e.replyOk(runsByKey))
            .on(POST, "/standin/runs/reset", FaultHandlers.withoutBody(runsByKey::clear))
            .on(
                POST,
                "/standin/delay",
                FaultHandlers.withBody(Delay.class, change -> delayMs = change.delayMs()))
            .on(
                POST,
                "/standin/lose-answers",
                FaultHandlers.withBody(NextCalls.class, change -> responsesToDrop = change.count()))
            .on(
                POST,
                "/standin/refuse",
                FaultHandlers.withBody(Refuse.class, change -> refuse = change))
            .on(
                POST,
                "/standin/crash",
                FaultHandlers.withBody(NextCalls.class, change -> pendingCrashes = change.count()))
            .otherwise(this::handleCall));
  }

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    server.stop();
  }

  private void handleCall(Exchange exchange) {
    if (pendingCrashes > 0) {
      pendingCrashes--;
      halt.run();
      return;
    }
    if (refuse.count() > 0) {
      int status = refuse.status() == 0 ? UNAVAILABLE : refuse.status();
      refuse = new Refuse(refuse.count() - 1, status);
      exchange.replyError(status, "refused");
      return;
    }
    server.eventLoop().schedule(() -> run(exchange), delayMs, TimeUnit.MILLISECONDS);
  }

  private void run(Exchange exchange) {
    String key = exchange.header("Idempotency-Key").orElse(NO_KEY);
    long run = runsByKey.merge(key, 1L, Long::sum);
    if (responsesToDrop > 0) {
      responsesToDrop--;
      exchange.closeWithoutResponse();
      return;
    }
    exchange.replyOk(echo(exchange, run));
  }

  private static Echo echo(Exchange exchange, long run) {
    return new Echo(
        exchange.method().name(),
        exchange.path(),
        exchange.body(),
        exchange.header("Idempotency-Key").orElse(null),
        exchange.header("Galenapost-Attempt").orElse(null),
        run);
  }

  private record Health(String status) {}
}
