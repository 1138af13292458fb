package org.galenapost.core.membership;

import java.util.List;
import java.util.Set;
import org.galenapost.core.platform.Host;

/** Says which daemons live. */
public interface Membership {

  /** Takes over the platform's host list, which may lag. */
  void onHosts(List<Host> hosts);

  /** Takes a daemon into account that was met before the host list named it. */
  void addDiscovered(MemberRecord daemon);

  /** Does the work of one period. */
  void tick();

  /** Tells the neighbours that this daemon stops. */
  void leave();

  /** Returns the ids of the other daemons that count as live. */
  Set<String> liveIds();

  /** Returns everything known of the other daemons. */
  List<MemberRecord> members();
}
