package org.galenapost.core.admission;

import org.galenapost.core.verdict.Refusal;

/** Receives the decision on one request, once, possibly before {@link Admission#admit} returns. */
public interface AdmissionCallback {

  /** Called when the request may run. */
  void onAdmitted(AdmissionPermit permit);

  /** Called when the request is refused; it has not run and will not run. */
  void onRefused(Refusal refusal);
}
