package org.galenapost.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.RequestHandler;
import org.galenapost.standins.platform.PlatformFaultRequests.DropResponses;
import org.galenapost.standins.platform.PlatformFaultRequests.Outage;
import org.galenapost.standins.platform.PlatformFaultRequests.OutageMode;
import org.galenapost.standins.platform.PlatformFaultRequests.Rates;
import org.galenapost.standins.platform.PlatformFaultRequests.Slow;

/** Counts each call and applies the active faults to it. Runs on the event loop. */
final class Admission {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final ScheduledExecutorService eventLoop;
  private final LongSupplier nanoTime;
  private final CallCounts counts = new CallCounts();
  private final List<Exchange> heldExchanges = new ArrayList<>();
  private Optional<OutageMode> outage = Optional.empty();
  private long delayMs;
  private DropResponses dropResponses = new DropResponses(0, null);
  private RateLimiter writeLimiter;
  private RateLimiter readLimiter;

  Admission(ScheduledExecutorService eventLoop, LongSupplier nanoTime) {
    this.eventLoop = eventLoop;
    this.nanoTime = nanoTime;
    setRates(new Rates(0, 0));
  }

  CallCounts counts() {
    return counts;
  }

  void setOutage(Outage change) {
    outage = change.enabled() ? Optional.of(change.mode()) : Optional.empty();
    if (outage.isEmpty()) {
      heldExchanges.forEach(Exchange::closeWithoutResponse);
      heldExchanges.clear();
    }
  }

  void setDelay(Slow change) {
    delayMs = change.delayMs();
  }

  void setDropResponses(DropResponses change) {
    dropResponses = change;
  }

  void setRates(Rates rates) {
    writeLimiter = new RateLimiter(rates.writesPerSecond(), nanoTime);
    readLimiter = new RateLimiter(rates.readsPerSecond(), nanoTime);
  }

  /**
   * Returns a handler that counts a call and calls the given handler unless an outage or a rate
   * limit rejects the call.
   */
  RequestHandler admit(CallKind call, RequestHandler handler) {
    return exchange -> {
      counts.count(call, objectKind(exchange));
      if (outage.isPresent()) {
        applyOutage(exchange);
        return;
      }
      if (!(call.isWrite() ? writeLimiter : readLimiter).tryAcquire()) {
        counts.countRateLimitedCall();
        throw HttpError.withStatus(TOO_MANY_REQUESTS, "over the rate");
      }
      handleAfterDelay(exchange, handler);
    };
  }

  private void handleAfterDelay(Exchange exchange, RequestHandler handler) {
    if (delayMs <= 0) {
      handler.handle(exchange);
      return;
    }
    eventLoop.schedule(() -> handleDelayed(exchange, handler), delayMs, TimeUnit.MILLISECONDS);
  }

  private void handleDelayed(Exchange exchange, RequestHandler handler) {
    try {
      handler.handle(exchange);
    } catch (HttpError e) {
      exchange.replyError(e.status(), e.getMessage());
    }
  }

  /** Rejects, closes or holds an exchange according to the outage mode. */
  void applyOutage(Exchange exchange) {
    counts.countOutageCall();
    switch (outage.orElse(OutageMode.REFUSE)) {
      case HANG -> heldExchanges.add(exchange);
      case CLOSE -> exchange.closeWithoutResponse();
      default -> exchange.replyError(UNAVAILABLE, "outage");
    }
  }

  /** Responds to an applied write, unless its response is to be dropped. */
  void replyToWrite(Exchange exchange, Object document) {
    if (dropResponses.matches(objectKind(exchange))) {
      dropResponses = dropResponses.decremented();
      counts.countDroppedResponse();
      exchange.closeWithoutResponse();
      return;
    }
    exchange.replyOk(document);
  }

  private static String objectKind(Exchange exchange) {
    return Optional.ofNullable(exchange.pathParameter("kind")).orElse("");
  }
}
