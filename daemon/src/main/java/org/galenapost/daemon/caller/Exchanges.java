package org.galenapost.daemon.caller;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

/** Knows the exchanges in progress at this daemon. */
public final class Exchanges {

  private final Set<Exchange> inFlight = ConcurrentHashMap.newKeySet();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean isDraining;

  /** Counts an exchange until its answer has ended. */
  public void add(Exchange exchange) {
    inFlight.add(exchange);
    exchange.response().onEnd(() -> remove(exchange));
  }

  private void remove(Exchange exchange) {
    inFlight.remove(exchange);
    completeIfDrained();
  }

  /** Returns the number of exchanges in progress. */
  public int count() {
    return inFlight.size();
  }

  /** Returns a stage that completes once no exchange is in progress. */
  public CompletionStage<Void> whenEmpty() {
    isDraining = true;
    completeIfDrained();
    return drained;
  }

  private void completeIfDrained() {
    if (isDraining && inFlight.isEmpty()) {
      drained.complete(null);
    }
  }
}
