package org.galenapost.core.instance;

import java.util.Objects;

/**
 * One start of a server, as announced by the server.
 *
 * @param id the id, which may remain the same after a restart
 * @param startedAtEpochMs the start time, in milliseconds since 1970; 0 if not announced
 * @param sequence the number of the announcement, which rises while the server lives; 0 if not
 *     announced
 * @param service the name of the service that it belongs to
 * @param ip the IP literal on which it listens
 * @param port the TCP port
 * @param dataCentre the data centre in which it runs
 * @param slots the number of calls that it runs concurrently
 * @param isLeaving whether it accepts no new calls
 * @param softwareVersion the version of the software that it runs, with no order between versions;
 *     empty if a daemon of an earlier release passed the announcement on
 */
public record ServerInstance(
    String id,
    long startedAtEpochMs,
    long sequence,
    String service,
    String ip,
    int port,
    String dataCentre,
    int slots,
    boolean isLeaving,
    String softwareVersion) {

  /** Checks that every part is present, except the version, which may be unknown. */
  public ServerInstance {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(ip, "ip");
    Objects.requireNonNull(dataCentre, "dataCentre");
    softwareVersion = Objects.requireNonNullElse(softwareVersion, "");
  }

  /** Returns the key of this instance. */
  public InstanceKey key() {
    return new InstanceKey(id, startedAtEpochMs);
  }

  /** Returns whether the server runs the given version; one of an unknown version runs none. */
  public boolean runsVersion(String version) {
    return !softwareVersion.isEmpty() && softwareVersion.equals(version);
  }

  /** Returns the address as IP literal and port. */
  public String address() {
    return ip + ":" + port;
  }
}
