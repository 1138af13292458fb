package org.galenapost.core.loss;

/** The reason for which an attempt is considered lost. */
public enum LossReason {
  /** The connection was reset, refused or closed before the response was complete. */
  RESET("reset"),
  /** No connection was established; the attempt never ran. */
  UNREACHABLE("unreachable"),
  /** The server was silent and a probe failed or timed out. */
  PROBE_FAILED("probe-failed"),
  /** The server answered probes but produced no token. */
  STUCK("stuck"),
  /** The engine is temporarily at capacity. */
  BUSY("busy"),
  /** The engine rejected the attempt or ended it with an error. */
  ENGINE_ERROR("engine-error");

  private final String wireName;

  LossReason(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in metrics and traces. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether the loss counts as a server failure that routing must be notified of. */
  public boolean isServerFault() {
    return this != BUSY;
  }

  /** Returns whether the engine may still be running the attempt. */
  public boolean mayStillRun() {
    return this == PROBE_FAILED || this == STUCK || this == ENGINE_ERROR;
  }

  /** Returns whether the server may be down, rather than only the attempt lost. */
  public boolean suggestsServerDown() {
    return this == RESET || this == PROBE_FAILED;
  }
}
