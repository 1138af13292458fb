package org.galenapost.standins.engine;

import static io.netty.handler.codec.http.HttpMethod.DELETE;
import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;

import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.RequestHandler;
import org.galenapost.standins.http.Routes;

/** A stand-in for a model engine. Serves its HTTP API and advances its batch on one event loop. */
public final class EngineStandin implements Standin {

  /** The interval between two steps of the batch. */
  private static final long TICK_MS = 5;

  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server;
  private final EngineSettings settings;
  private final Runnable halt;
  private final ScheduledExecutorService loop;
  private final EngineCounts counts = new EngineCounts();
  private final EngineFaults faults;
  private final FreezeGate gate;
  private final ModelTable models;
  private final GenerationTable generations;
  private final CacheEventLog cacheEvents;
  private final Batch batch;
  private final LoadReporter loadReporter;
  private boolean isTicking;
  private long lastTickNanos;

  /**
   * Creates an engine.
   *
   * @param port the port to listen on, or 0 for a free one
   * @param settings the engine's capacity and behaviour
   * @param halt simulates a crash: ends the process at once, without responses to open requests
   */
  public EngineStandin(int port, EngineSettings settings, Runnable halt) {
    this.server = HttpServer.onPort(port);
    this.settings = settings;
    this.halt = halt;
    this.loop = server.eventLoop();
    this.faults = new EngineFaults(settings.crashMarker());
    this.gate = new FreezeGate(loop);
    this.models = new ModelTable(settings, loop);
    this.generations = new GenerationTable(loop, faults, gate);
    this.cacheEvents =
        new CacheEventLog(
            settings.eventLagMs(),
            settings.eventLoss(),
            new Random(settings.seed()),
            System::nanoTime);
    PrefixCache cache = new PrefixCache(settings.cacheBlocks(), cacheEvents);
    this.batch = new Batch(settings, cache, counts, this::crashIfMarked);
    this.loadReporter =
        new LoadReporter(batch, cache, counts, InstantSource.system(), System::nanoTime);
  }

  @Override
  public void start() {
    server.start(routes());
    if (settings.reportLagMs() > 0) {
      long lagMs = settings.reportLagMs();
      loop.scheduleAtFixedRate(this::refreshLoad, lagMs, lagMs, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    server.stop();
  }

  private Routes routes() {
    Routes routes =
        Routes.create()
            .on(POST, "/v1/completions", guardGenerationCall(this::complete))
            .on(GET, "/v1/generations/{id}", guardGenerationCall(this::attach))
            .on(DELETE, "/v1/generations/{id}", guardGenerationCall(this::cancel))
            .on(GET, "/health", gate.guard(exchange -> exchange.replyOk(new Health("ok"))))
            .on(GET, "/v1/load", gate.guard(this::readLoad))
            .on(GET, "/v1/cache-events", gate.guard(this::readCacheEvents))
            .on(POST, "/v1/orders", gate.guard(this::applyOrder))
            .on(GET, "/v1/state", gate.guard(exchange -> exchange.replyOk(models.state())))
            .on(GET, "/standin/counts", exchange -> exchange.replyOk(counts.report()))
            .on(POST, "/standin/counts/reset", FaultHandlers.withoutBody(counts::reset));
    return new EngineFaultRoutes(faults, gate, generations, halt).addTo(routes);
  }

  private RequestHandler guardGenerationCall(RequestHandler handler) {
    return gate.guard(
        exchange -> {
          if (faults.failsFast()) {
            throw HttpError.withStatus(INTERNAL_ERROR, "internal error");
          }
          handler.handle(exchange);
        });
  }

  private void complete(Exchange exchange) {
    CompletionBody body = exchange.body(CompletionBody.class);
    if (!models.isServing()) {
      throw HttpError.withStatus(UNAVAILABLE, "role is not serve");
    }
    String version =
        models
            .resolveVersion(body.model(), Optional.ofNullable(body.version()), body.adapterName())
            .orElseThrow(() -> HttpError.notFound("model " + body.model()));
    if (generations.find(body.requestId()).isPresent()) {
      throw HttpError.withStatus(CONFLICT, "attempt exists: " + body.requestId());
    }
    Generation generation = new Generation(body, version);
    if (!batch.add(generation)) {
      throw HttpError.withStatus(TOO_MANY_REQUESTS, "queue full");
    }
    counts.countRequest(generation.id());
    generations.add(generation);
    generations.attach(generation.id(), exchange.openEventStream(), body.accepted().size());
    startTicking();
  }

  private void attach(Exchange exchange) {
    Generation generation = find(exchange);
    long firstOffset = exchange.queryLong("from", 0);
    if (firstOffset < 0 || firstOffset > Integer.MAX_VALUE) {
      throw HttpError.badRequest("expected an offset in from");
    }
    counts.countAttached();
    generations.attach(generation.id(), exchange.openEventStream(), (int) firstOffset);
  }

  private void cancel(Exchange exchange) {
    generations.cancel(find(exchange));
    counts.countCancelled();
    exchange.replyOk(new Cancelled(true));
  }

  private Generation find(Exchange exchange) {
    String id = exchange.pathParameter("id");
    return generations.find(id).orElseThrow(() -> HttpError.notFound("generation " + id));
  }

  private void readLoad(Exchange exchange) {
    if (settings.reportLagMs() <= 0) {
      loadReporter.refresh();
    }
    exchange.replyOk(
        faults.reportsIdleLoad() ? loadReporter.idleReport() : loadReporter.published());
  }

  private void readCacheEvents(Exchange exchange) {
    exchange.replyOk(cacheEvents.readableAfter(exchange.queryLong("since", 0)));
  }

  private void applyOrder(Exchange exchange) {
    EngineOrder order = exchange.body(EngineOrder.class);
    models
        .apply(order)
        .ifPresentOrElse(
            response -> exchange.reply(CONFLICT, response),
            () -> exchange.replyOk(new EngineOrder.AppliedResponse(true)));
  }

  private void refreshLoad() {
    if (!gate.isFrozen()) {
      loadReporter.refresh();
    }
  }

  private void crashIfMarked(Generation generation) {
    if (faults.crashesOn(generation.prompt())) {
      halt.run();
    }
  }

  private void startTicking() {
    if (!isTicking) {
      isTicking = true;
      lastTickNanos = System.nanoTime();
      scheduleTick();
    }
  }

  private void scheduleTick() {
    loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    if (!gate.isFrozen()) {
      batch.advance((long) ((nowNanos - lastTickNanos) / faults.slowFactor()));
    }
    lastTickNanos = nowNanos;
    if (batch.isIdle()) {
      isTicking = false;
      return;
    }
    scheduleTick();
  }

  private record Health(String status) {}

  private record Cancelled(boolean cancelled) {}
}
