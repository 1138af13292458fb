package org.galenapost.core.loss;

/** Says how a loss was found out. */
public enum LossReason {
  /** The connection was reset, refused or ended before the answer was complete. */
  RESET("reset"),
  /** No connection came about; the attempt never ran. */
  UNREACHABLE("unreachable"),
  /** The server was silent and did not answer a probe. */
  PROBE_FAILED("probe-failed"),
  /** The server answered probes but brought no token. */
  STUCK("stuck"),
  /** The engine takes no more at the moment. */
  BUSY("busy"),
  /** The engine refused the attempt or ended it with an error. */
  ENGINE_ERROR("engine-error");

  private final String wireName;

  LossReason(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in counters and traces. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether it speaks against the server, so that routing should know. */
  public boolean isServerFault() {
    return this != BUSY;
  }

  /** Returns whether the engine may still work on the attempt. */
  public boolean mayStillRun() {
    return this == PROBE_FAILED || this == STUCK || this == ENGINE_ERROR;
  }

  /** Returns whether the server itself, and not only the attempt, may be down. */
  public boolean suggestsServerDown() {
    return this == RESET || this == PROBE_FAILED;
  }
}
