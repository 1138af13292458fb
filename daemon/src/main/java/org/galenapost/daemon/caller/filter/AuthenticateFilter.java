package org.galenapost.daemon.caller.filter;

import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.http.BearerToken;

/** Looks up the workspace of the caller's key, and refuses callers without a valid key. */
public final class AuthenticateFilter implements Filter {

  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

  private final ConfigurationView configuration;

  /** Creates a filter that looks keys up in the active configuration. */
  public AuthenticateFilter(ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    if (!configuration.isReady()) {
      exchange.refuse(notReady());
      return;
    }
    Optional<Workspace> workspace =
        BearerToken.of(exchange.request().headers()).flatMap(configuration::workspaceByKey);
    if (workspace.isEmpty()) {
      exchange.refuse(
          Refusal.notRun(RefusalReason.UNAUTHENTICATED, "A valid workspace key is required."));
      return;
    }
    exchange.setWorkspace(workspace.get());
    next.proceed(exchange);
  }

  private static Refusal notReady() {
    return Refusal.notRun(RefusalReason.NOT_READY, "The daemon has no configuration yet.")
        .withRetryAfter(NOT_READY_RETRY_AFTER);
  }
}
