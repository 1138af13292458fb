package org.galenapost.core.admission;

import java.util.Objects;
import org.galenapost.core.profile.Urgency;

/**
 * A request for admission.
 *
 * @param workspace the workspace that sends the request
 * @param target the model or plain service; each target has its own queue
 * @param urgency the order within the workspace
 * @param costTokens the maximum tokens that it can use; 1 for a call of a plain service
 * @param deadlineNanos the caller's deadline, in nanoseconds of the monotonic clock
 */
public record AdmissionRequest(
    String workspace, String target, Urgency urgency, int costTokens, long deadlineNanos) {

  /** Checks the arguments. */
  public AdmissionRequest {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(urgency, "urgency");
    if (costTokens < 1) {
      throw new IllegalArgumentException("costTokens must be at least 1, but was " + costTokens);
    }
  }
}
