package org.galenapost.core.admission;

import java.time.Duration;
import org.galenapost.core.verdict.RefusalReason;

/** Is notified of every admission decision, for metrics. */
public interface AdmissionListener {

  /** Ignores every event. */
  AdmissionListener NONE = new AdmissionListener() {};

  /** Called when a request is admitted, with the time that it waited. */
  default void onAdmitted(AdmissionRequest request, Duration waited) {}

  /** Called when a request is refused. */
  default void onRefused(AdmissionRequest request, RefusalReason reason) {}
}
