package org.galenapost.daemon.caller;

import java.util.List;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.log.EventLog;

/** The rest of the filters that an exchange has to pass. */
@FunctionalInterface
public interface FilterChain {

  /** Passes the exchange on to the next filter. */
  void proceed(Exchange exchange);

  /**
   * Returns a chain of filters in order; the last one must answer. A filter that throws ends the
   * exchange with a refusal.
   */
  static FilterChain of(List<Filter> filters) {
    if (filters.isEmpty()) {
      return FilterChain::failUnanswered;
    }
    Filter first = filters.get(0);
    FilterChain rest = of(filters.subList(1, filters.size()));
    return exchange -> handleSafely(first, exchange, rest);
  }

  private static void handleSafely(Filter filter, Exchange exchange, FilterChain rest) {
    try {
      filter.handle(exchange, rest);
    } catch (RuntimeException e) {
      EventLog.of(FilterChain.class)
          .error("request_failed")
          .with("request_id", exchange.requestId())
          .write(e);
      exchange.refuse(
          Refusal.mayHaveRun(RefusalReason.INTERNAL_ERROR, "The daemon failed on this request."));
    }
  }

  private static void failUnanswered(Exchange exchange) {
    throw new IllegalStateException("no filter answered request " + exchange.requestId());
  }
}
