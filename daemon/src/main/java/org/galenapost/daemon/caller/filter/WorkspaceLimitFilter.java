package org.galenapost.daemon.caller.filter;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;

/** Refuses requests of a workspace above its limit of requests in flight at this daemon. */
public final class WorkspaceLimitFilter implements Filter {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    Workspace workspace = exchange.workspace().orElseThrow();
    AtomicInteger count = inFlight.computeIfAbsent(workspace.name(), name -> new AtomicInteger());
    int inFlightNow = count.incrementAndGet();
    exchange.response().onEnd(count::decrementAndGet);
    if (inFlightNow > workspace.maxInFlight()) {
      exchange.refuse(
          Refusal.notRun(
                  RefusalReason.WORKSPACE_LIMIT,
                  "The workspace has " + workspace.maxInFlight() + " requests in progress.")
              .withRetryAfter(RETRY_AFTER));
      return;
    }
    next.proceed(exchange);
  }
}
