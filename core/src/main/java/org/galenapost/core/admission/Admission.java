package org.galenapost.core.admission;

import org.galenapost.core.time.Scheduler.Cancellable;

/** Decides whether a request may run, and when. */
@FunctionalInterface
public interface Admission {

  /**
   * Requests admission.
   *
   * @param request the request
   * @param callback receives the decision within the maximum wait
   * @return a handle that removes the request from the queue while it waits
   */
  Cancellable admit(AdmissionRequest request, AdmissionCallback callback);
}
