package org.galenapost.daemon.wiring;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.galenapost.core.admission.Admission;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.Router;
import org.galenapost.daemon.service.Service;

/**
 * The parts that route, admit and retry requests.
 *
 * @param router selects backend servers
 * @param admission decides when a request may run
 * @param retries decides whether a failed attempt is retried
 * @param isReady returns whether the router has received the backend servers
 * @param services the services to start, in order
 */
public record LoadParts(
    Router router,
    Admission admission,
    RetryBudget retries,
    BooleanSupplier isReady,
    List<Service> services) {

  /** Copies the services. */
  public LoadParts {
    services = List.copyOf(services);
  }
}
