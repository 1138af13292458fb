package org.galenapost.daemon.caller;

/** A step in the processing of a request. */
@FunctionalInterface
public interface Filter {

  /**
   * Handles the exchange. A filter either passes it to the rest of the chain, now or later, or
   * answers it.
   *
   * @param exchange the request and its response
   * @param next the rest of the chain
   */
  void handle(Exchange exchange, FilterChain next);
}
