package org.galenapost.daemon.wiring;

import java.time.Duration;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.routing.Route;

/** A route to a given server that ignores the reported outcomes. */
record FakeRoute(BackendServer server) implements Route {

  @Override
  public String explanation() {
    return "first";
  }

  @Override
  public void recordFirstAnswer(Duration latency) {}

  @Override
  public void succeeded() {}

  @Override
  public void failed() {}

  @Override
  public void cancelled() {}
}
