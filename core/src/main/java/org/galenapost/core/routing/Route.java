package org.galenapost.core.routing;

import java.time.Duration;
import org.galenapost.core.fleet.BackendServer;

/**
 * The assignment of a request to one backend server. The holder calls {@link #succeeded}, {@link
 * #failed} or {@link #cancelled} once.
 */
public interface Route {

  /** Returns the chosen server. */
  BackendServer server();

  /** Returns why this server was chosen, for the request's trace. */
  String explanation();

  /** Records the time from sending to the first answer. */
  void recordFirstAnswer(Duration latency);

  /** Ends the route after a complete answer. */
  void succeeded();

  /** Ends the route after the server failed. */
  void failed();

  /** Ends the route without an outcome for the server, such as when the caller disconnects. */
  void cancelled();
}
