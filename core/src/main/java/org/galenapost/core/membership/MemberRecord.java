package org.galenapost.core.membership;

import java.util.Objects;

/**
 * What is known of one daemon.
 *
 * @param id the unique id
 * @param ip the IP literal on which it listens for other daemons
 * @param port the TCP port on which it listens for other daemons
 * @param dataCentre its data centre
 * @param incarnation raised by the daemon alone, at each start and to refute a suspicion
 * @param status what is believed of it
 */
public record MemberRecord(
    String id, String ip, int port, String dataCentre, long incarnation, MemberStatus status) {

  /** The incarnation of a daemon that was announced by the host list alone. */
  public static final long UNCONFIRMED_INCARNATION = 0;

  /** Checks that every part is present. */
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

  /** Returns a copy with another incarnation that is alive. */
  public MemberRecord aliveWithIncarnation(long newIncarnation) {
    return new MemberRecord(id, ip, port, dataCentre, newIncarnation, MemberStatus.ALIVE);
  }

  /** Returns the record as others may take it over: a loss is for each daemon to find. */
  MemberRecord lostAsSuspected() {
    return status == MemberStatus.LOST ? withStatus(MemberStatus.SUSPECTED) : this;
  }

  /** Returns whether this record is newer than another one of the same daemon. */
  boolean overrides(MemberRecord other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : status.compareTo(other.status) > 0;
  }
}
