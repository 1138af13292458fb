package org.galenapost.daemon.caller.filter;

import java.time.Duration;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.lifecycle.DaemonState;

/** Refuses new requests on open connections while the daemon shuts down. */
public final class ShutdownFilter implements Filter {

  private static final Duration RETRY_AFTER = Duration.ofMillis(100);

  private final DaemonState state;

  /** Creates a filter that follows the phase of the daemon. */
  public ShutdownFilter(DaemonState state) {
    this.state = state;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    if (state.refusesNewRequests()) {
      exchange.refuse(
          Refusal.notRun(RefusalReason.SHUTTING_DOWN, "This daemon leaves; connect again.")
              .withRetryAfter(RETRY_AFTER));
    } else {
      next.proceed(exchange);
    }
  }
}
