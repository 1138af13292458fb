package org.galenapost.daemon.wiring;

import java.util.List;
import org.galenapost.daemon.caller.Exchanges;
import org.galenapost.daemon.explain.TraceStore;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.service.Service;

/**
 * The parts that serve callers.
 *
 * @param listener the caller listener
 * @param exchanges the exchanges in progress
 * @param traces the traces of the latest requests
 * @param services the services to start, in order; the listener is the last
 */
record CallerParts(
    HttpListener listener, Exchanges exchanges, TraceStore traces, List<Service> services) {

  CallerParts {
    services = List.copyOf(services);
  }
}
