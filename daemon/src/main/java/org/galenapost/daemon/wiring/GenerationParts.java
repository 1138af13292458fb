package org.galenapost.daemon.wiring;

import java.util.List;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.daemon.service.Service;

/**
 * The parts that run generations.
 *
 * @param generations starts and resumes generations
 * @param services the services to start, in order
 */
public record GenerationParts(GenerationService generations, List<Service> services) {

  /** Copies the services. */
  public GenerationParts {
    services = List.copyOf(services);
  }
}
