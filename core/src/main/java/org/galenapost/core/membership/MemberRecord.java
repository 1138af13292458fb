package org.galenapost.core.membership;

import java.util.Objects;

/**
 * The membership record of one daemon.
 *
 * @param id the unique id
 * @param ip the IP literal on which it listens for other daemons
 * @param port the TCP port on which it listens for other daemons
 * @param dataCentre the data centre of the daemon
 * @param incarnation increased only by the daemon itself, at each start and to refute a suspicion
 * @param status the status of the daemon
 */
public record MemberRecord(
    String id, String ip, int port, String dataCentre, long incarnation, MemberStatus status) {

  /** The incarnation of a daemon that is known only from the host list. */
  public static final long UNCONFIRMED_INCARNATION = 0;

  /** Checks that no component is null. */
  public MemberRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(ip, "ip");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(status, "status");
  }

  /** Returns a copy with another status. */
  public MemberRecord withStatus(MemberStatus newStatus) {
    return new MemberRecord(id, ip, port, dataCentre, incarnation, newStatus);
  }

  /** Returns a copy with another incarnation and status {@link MemberStatus#ALIVE}. */
  public MemberRecord aliveWithIncarnation(long newIncarnation) {
    return new MemberRecord(id, ip, port, dataCentre, newIncarnation, MemberStatus.ALIVE);
  }

  /**
   * Returns the record to share with peers: lost becomes suspected, as each detects loss itself.
   */
  MemberRecord lostAsSuspected() {
    return status == MemberStatus.LOST ? withStatus(MemberStatus.SUSPECTED) : this;
  }

  /** Returns whether this record replaces another record of the same daemon. */
  boolean overrides(MemberRecord other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : status.compareTo(other.status) > 0;
  }
}
