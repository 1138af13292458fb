package org.galenapost.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.galenapost.core.platform.Host;

/** Tracks which daemons are live. */
public interface Membership {

  /** Applies the platform's host list, which may be out of date. */
  void onHosts(List<Host> hosts);

  /** Adds a daemon that was discovered before it appeared on the host list. */
  void addDiscovered(MemberRecord daemon);

  /** Runs one heartbeat period. */
  void tick();

  /** Notifies the neighbours that this daemon shuts down. */
  void leave();

  /** Returns the ids of the other live daemons. */
  Set<String> liveIds();

  /**
   * Returns the number of other daemons that are live or were so within the given time. A daemon
   * that is only cut off from this one looks like one that was lost.
   */
  int recentlyLiveCount(Duration time);

  /** Returns the records of all other known daemons. */
  List<MemberRecord> members();
}
