package org.galenapost.daemon.lifecycle;

import java.util.Locale;

/** A phase of a daemon's lifecycle, in the order in which the phases are entered. */
public enum DaemonPhase {
  /** Services are starting. Requests are not accepted. */
  STARTING,
  /** Requests are accepted. */
  SERVING,
  /**
   * The readiness check fails, but requests are still accepted until the load balancer detects it.
   */
  LEAVING,
  /** New requests are refused. Requests in flight complete. */
  DRAINING,
  /** Services are stopping or stopped. */
  STOPPED;

  /** Returns the name used in responses and logs. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
