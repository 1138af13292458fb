package org.galenapost.standins.platform;

import static io.netty.handler.codec.http.HttpMethod.DELETE;
import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;
import static io.netty.handler.codec.http.HttpMethod.PUT;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.RequestHandler;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.platform.PlatformFaultRequests.DropResponses;
import org.galenapost.standins.platform.PlatformFaultRequests.Outage;
import org.galenapost.standins.platform.PlatformFaultRequests.Rates;
import org.galenapost.standins.platform.PlatformFaultRequests.Slow;

/** Serves the platform's object API and the routes that set its faults. */
public final class PlatformStandin implements Standin {

  private static final int NOT_MODIFIED = 304;
  private static final int MAX_VALUE_BYTES = 1024 * 1024;
  private static final long DEFAULT_WAIT_MS = 20_000;
  private static final int PRECONDITION_FAILED = 412;
  private static final int VALUE_TOO_LARGE = 413;
  private static final int PRECONDITION_REQUIRED = 428;

  private final HttpServer server;
  private final ObjectTable table;
  private final WatchList watches;
  private final Admission admission;
  private HostList hosts = new HostList(0, List.of());

  /**
   * Creates a platform.
   *
   * @param port the port to listen on, or 0 for a free port
   * @param maxHistoryChanges the number of changes kept for watches
   */
  public PlatformStandin(int port, int maxHistoryChanges) {
    this.server = HttpServer.onPort(port);
    this.table = new ObjectTable(maxHistoryChanges);
    this.watches = new WatchList(server.eventLoop(), table);
    this.admission = new Admission(server.eventLoop(), System::nanoTime);
  }

  @Override
  public void start() {
    server.start(routes());
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
   * Sets the rate limits, like the fault route {@code rates}. Must be called before the start.
   *
   * @param writesPerSecond the rate limit of writes, in calls per second; 0 for none
   * @param readsPerSecond the rate limit of reads, in calls per second; 0 for none
   */
  void setRateLimits(double writesPerSecond, double readsPerSecond) {
    admission.setRates(new Rates(writesPerSecond, readsPerSecond));
  }

  private Routes routes() {
    RequestHandler list = admission.admit(CallKind.LIST, this::list);
    RequestHandler watch = admission.admit(CallKind.WATCH, this::watch);
    Routes routes =
        Routes.create()
            .on(GET, "/v1/objects/{kind}", e -> (isWatch(e) ? watch : list).handle(e))
            .on(GET, "/v1/objects/{kind}/{name}", admission.admit(CallKind.GET, this::get))
            .on(PUT, "/v1/objects/{kind}/{name}", admission.admit(CallKind.PUT, this::put))
            .on(DELETE, "/v1/objects/{kind}/{name}", admission.admit(CallKind.DELETE, this::delete))
            .on(GET, "/v1/hosts", admission.admit(CallKind.HOSTS, this::getHosts));
    return addFaultRoutes(routes);
  }

  private Routes addFaultRoutes(Routes routes) {
    return routes
        .on(PUT, "/standin/hosts", this::putHosts)
        .on(POST, "/standin/outage", FaultHandlers.withBody(Outage.class, this::setOutage))
        .on(POST, "/standin/slow", FaultHandlers.withBody(Slow.class, admission::setDelay))
        .on(
            POST,
            "/standin/lose-answers",
            FaultHandlers.withBody(DropResponses.class, admission::setDropResponses))
        .on(POST, "/standin/rates", FaultHandlers.withBody(Rates.class, admission::setRates))
        .on(GET, "/standin/counts", e -> e.replyOk(admission.counts().report()))
        .on(POST, "/standin/counts/reset", FaultHandlers.withoutBody(admission.counts()::reset));
  }

  private static boolean isWatch(Exchange exchange) {
    return exchange.query("watch").map(Boolean::parseBoolean).orElse(false);
  }

  private void get(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    String name = exchange.pathParameter("name");
    StoredObject object =
        table.get(kind, name).orElseThrow(() -> HttpError.notFound(kind + "/" + name));
    exchange.replyOk(object);
  }

  private void list(Exchange exchange) {
    exchange.replyOk(table.list(exchange.pathParameter("kind")));
  }

  private void watch(Exchange exchange) {
    long since = exchange.queryLong("since", 0);
    long waitMs = exchange.queryLong("wait_ms", DEFAULT_WAIT_MS);
    watches.add(exchange, exchange.pathParameter("kind"), since, waitMs);
  }

  private void put(Exchange exchange) {
    if (exchange.body().getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
      throw HttpError.withStatus(VALUE_TOO_LARGE, "value over " + MAX_VALUE_BYTES + " bytes");
    }
    JsonNode value = exchange.body(JsonNode.class);
    if (!value.isObject()) {
      throw HttpError.badRequest("expected a JSON object");
    }
    String kind = exchange.pathParameter("kind");
    completeWrite(
        exchange, table.put(kind, exchange.pathParameter("name"), precondition(exchange), value));
  }

  private void delete(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    String name = exchange.pathParameter("name");
    if (table.get(kind, name).isEmpty()) {
      throw HttpError.notFound(kind + "/" + name);
    }
    completeWrite(exchange, table.delete(kind, name, precondition(exchange)));
  }

  private void completeWrite(Exchange exchange, WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      Object current = conflict.current().<Object>map(object -> object).orElse(new AbsentObject());
      exchange.reply(PRECONDITION_FAILED, current);
      return;
    }
    Object document =
        result instanceof WriteResult.Written written ? written.object() : (Object) result;
    admission.replyToWrite(exchange, document);
    watches.completeWatches(exchange.pathParameter("kind"));
  }

  private static Precondition precondition(Exchange exchange) {
    if (exchange.header("If-None-Match").filter("*"::equals).isPresent()) {
      return Precondition.isAbsent();
    }
    Optional<String> version = exchange.header("If-Match");
    if (version.isEmpty()) {
      throw HttpError.withStatus(PRECONDITION_REQUIRED, "expected If-Match or If-None-Match");
    }
    try {
      return Precondition.hasVersion(Long.parseLong(version.get().replace("\"", "")));
    } catch (NumberFormatException e) {
      throw HttpError.badRequest("expected a version in If-Match");
    }
  }

  private void putHosts(Exchange exchange) {
    HostList wanted = exchange.body(HostList.class);
    hosts = new HostList(hosts.revision() + 1, wanted.hosts());
    exchange.replyOk(hosts);
  }

  private void getHosts(Exchange exchange) {
    String tag = "\"" + hosts.revision() + "\"";
    if (exchange.header("If-None-Match").filter(tag::equals).isPresent()) {
      exchange.reply(NOT_MODIFIED, "application/json", "");
    } else {
      exchange.replyOk(hosts);
    }
  }

  private void setOutage(Outage change) {
    admission.setOutage(change);
    if (change.enabled()) {
      watches.drain(admission::applyOutage);
    }
  }

  /** The response body for an object that does not exist: an empty JSON object. */
  private record AbsentObject() {}
}
