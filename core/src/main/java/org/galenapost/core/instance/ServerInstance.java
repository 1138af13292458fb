package org.galenapost.core.instance;

import java.util.Objects;

/**
 * One start of a server, as the server announces it.
 *
 * @param id the id, which the server may keep over a restart
 * @param startedAtEpochMs when it started, in milliseconds; 0 if it does not say
 * @param service the service that it belongs to
 * @param ip the IP literal on which it listens
 * @param port the TCP port
 * @param dataCentre the data centre that houses it
 * @param slots the calls that it runs at once
 * @param isLeaving whether it takes no new work
 */
public record ServerInstance(
    String id,
    long startedAtEpochMs,
    String service,
    String ip,
    int port,
    String dataCentre,
    int slots,
    boolean isLeaving) {

  /** Checks that every part is present. */
  public ServerInstance {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(ip, "ip");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }

  /** Returns what tells this start from every other one. */
  public InstanceKey key() {
    return new InstanceKey(id, startedAtEpochMs);
  }

  /** Returns the address as IP literal and port. */
  public String address() {
    return ip + ":" + port;
  }
}
