package org.galenapost.daemon.caller.filter;

import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.caller.Target;
import org.galenapost.daemon.caller.answer.GenerationRelay;
import org.galenapost.daemon.relay.ServiceRelay;

/** Passes the exchange to the relay for its target. It must be the last filter of a chain. */
public final class RelayFilter implements Filter {

  private final GenerationRelay generations;
  private final ServiceRelay services;

  /** Creates a filter that uses the given relays. */
  public RelayFilter(GenerationRelay generations, ServiceRelay services) {
    this.generations = generations;
    this.services = services;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    Target target = exchange.target().orElseThrow();
    if (target instanceof Target.Generation generation) {
      generations.relay(exchange, generation);
    } else if (target instanceof Target.ServiceCall call) {
      services.relay(exchange, call);
    }
  }
}
