package org.galenapost.core.routing;

import java.util.Objects;

/**
 * A daemon and its data centre.
 *
 * @param daemonId the id of the daemon
 * @param dataCentre its data centre
 */
public record DaemonSite(String daemonId, String dataCentre) {

  /** Checks the arguments. */
  public DaemonSite {
    Objects.requireNonNull(daemonId, "daemonId");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
