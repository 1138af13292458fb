package org.galenapost.daemon.operator;

import java.util.List;

/**
 * The status of a daemon as the operator port reports it.
 *
 * @param daemonId the id of the daemon
 * @param dataCentre the data centre of the daemon
 * @param phase the lifecycle phase, such as {@code serving}
 * @param ready whether the daemon accepts requests
 * @param configurationRevision the configuration revision in force
 * @param requestsInProgress the number of requests in progress
 * @param callerConnections the number of open caller connections
 * @param peers the other known daemons
 * @param servers the known backend servers
 */
public record DaemonStatus(
    String daemonId,
    String dataCentre,
    String phase,
    boolean ready,
    long configurationRevision,
    int requestsInProgress,
    int callerConnections,
    List<PeerStatus> peers,
    List<ServerStatus> servers) {

  /** Makes defensive copies of the lists. */
  public DaemonStatus {
    peers = List.copyOf(peers);
    servers = List.copyOf(servers);
  }

  /**
   * Another daemon as the operator port reports it.
   *
   * @param id the id of the daemon
   * @param address the address where it listens for other daemons
   * @param dataCentre the data centre of the daemon
   * @param state {@code alive}, {@code suspected}, {@code lost} or {@code left}
   * @param incarnation the latest known incarnation number, which only that daemon increases
   */
  public record PeerStatus(
      String id, String address, String dataCentre, String state, long incarnation) {}

  /**
   * A backend server as the operator port reports it.
   *
   * @param id the id of the server
   * @param address the address where it listens
   * @param kind {@code engine} or {@code service}
   * @param dataCentre the data centre of the server
   * @param state {@code live} or {@code leaving}
   */
  public record ServerStatus(
      String id, String address, String kind, String dataCentre, String state) {}
}
