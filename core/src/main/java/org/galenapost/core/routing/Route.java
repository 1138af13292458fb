package org.galenapost.core.routing;

import java.time.Duration;
import org.galenapost.core.fleet.BackendServer;

/** A request's place on one backend server; exactly one of the ending methods is called, once. */
public interface Route {

  /** Returns the chosen server. */
  BackendServer server();

  /** Returns why this server was chosen, for the request's trace. */
  String explanation();

  /** Reports the time from sending to the first answer. */
  void recordFirstAnswer(Duration latency);

  /** Ends the route after a full answer. */
  void succeeded();

  /** Ends the route after the server failed. */
  void failed();

  /** Ends the route without a judgement on the server, as when the caller went away. */
  void cancelled();
}
