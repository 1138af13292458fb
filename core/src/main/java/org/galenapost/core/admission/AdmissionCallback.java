package org.galenapost.core.admission;

import org.galenapost.core.verdict.Refusal;

/** Receives the one answer to a request for admission, perhaps before the request returns. */
public interface AdmissionCallback {

  /** Hears that the request may run. */
  void onAdmitted(AdmissionPermit permit);

  /** Hears that the request did not run and will not. */
  void onRefused(Refusal refusal);
}
