package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.RequestHandler;

/** Holds all exchanges while the engine is frozen. Runs on the event loop. */
final class FreezeGate {

  private final ScheduledExecutorService loop;
  private final List<Runnable> heldRequests = new ArrayList<>();
  private Future<?> thawTimer = CompletableFuture.completedFuture(null);
  private Runnable onThaw = () -> {};
  private boolean isFrozen;

  FreezeGate(ScheduledExecutorService loop) {
    this.loop = loop;
  }

  boolean isFrozen() {
    return isFrozen;
  }

  void onThaw(Runnable listener) {
    onThaw = listener;
  }

  void freeze(EngineFaults.Freeze change) {
    thawTimer.cancel(false);
    isFrozen = true;
    if (change.ms() > 0) {
      thawTimer = loop.schedule(this::thaw, change.ms(), TimeUnit.MILLISECONDS);
    }
  }

  void thaw() {
    thawTimer.cancel(false);
    isFrozen = false;
    List<Runnable> released = List.copyOf(heldRequests);
    heldRequests.clear();
    released.forEach(Runnable::run);
    onThaw.run();
  }

  /** Returns a handler that waits for the thaw. */
  RequestHandler guard(RequestHandler handler) {
    return exchange -> {
      if (isFrozen) {
        heldRequests.add(() -> handleAfterThaw(exchange, handler));
        return;
      }
      handler.handle(exchange);
    };
  }

  private static void handleAfterThaw(Exchange exchange, RequestHandler handler) {
    try {
      handler.handle(exchange);
    } catch (HttpError e) {
      exchange.replyError(e.status(), e.getMessage());
    }
  }
}
