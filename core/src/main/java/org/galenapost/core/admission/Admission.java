package org.galenapost.core.admission;

import org.galenapost.core.time.Scheduler.Cancellable;

/** Decides when and whether a request may run. */
@FunctionalInterface
public interface Admission {

  /**
   * Asks for admission.
   *
   * @param request the request
   * @param outcome receives the answer, within the bound on waiting
   * @return a handle that withdraws the request while it waits
   */
  Cancellable admit(AdmissionRequest request, AdmissionCallback outcome);
}
