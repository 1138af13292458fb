package org.galenapost.daemon.peer;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections of peers that are not authenticated yet. One beyond the bound takes the
 * place of the one that has not authenticated for longest, since a daemon needs little time for it.
 */
final class PendingHandshakes {

  private final int maxPending;
  private final Set<Channel> pending = new LinkedHashSet<>();

  PendingHandshakes(int maxPending) {
    this.maxPending = maxPending;
  }

  /** Adds a connection until it is authenticated or closed. */
  void add(Channel channel) {
    Channel longestPending = null;
    synchronized (this) {
      pending.add(channel);
      if (pending.size() > maxPending) {
        Iterator<Channel> longestFirst = pending.iterator();
        longestPending = longestFirst.next();
        longestFirst.remove();
      }
    }
    channel.closeFuture().addListener(closed -> remove(channel));
    if (longestPending != null) {
      longestPending.close();
    }
  }

  /** Removes a connection that is authenticated. */
  synchronized void remove(Channel channel) {
    pending.remove(channel);
  }
}
