package org.galenapost.core.generation;

import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/** The reason for which a resume handle is rejected. */
public enum HandleError {
  /** The text is not a handle, or was not issued by this system to this workspace. */
  FORGED(
      RefusalReason.RESUME_HANDLE_INVALID,
      "the resume handle was not issued by this system to this workspace"),
  /** The handle was issued for another request. */
  FOREIGN(
      RefusalReason.RESUME_HANDLE_INVALID, "the resume handle was issued for another request body"),
  /** The handle has expired. */
  EXPIRED(
      RefusalReason.RESUME_HANDLE_EXPIRED,
      "the resume handle is too old; send the request again without it");

  private final RefusalReason reason;
  private final String detail;

  HandleError(RefusalReason reason, String detail) {
    this.reason = reason;
    this.detail = detail;
  }

  /** Returns the refusal sent to the caller, whose request has not been run. */
  public Refusal refusal() {
    return Refusal.notRun(reason, detail);
  }
}
