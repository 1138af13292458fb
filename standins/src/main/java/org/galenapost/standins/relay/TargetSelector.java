package org.galenapost.standins.relay;

import java.net.InetSocketAddress;
import java.util.List;

/** Selects the target of a new connection. */
@FunctionalInterface
public interface TargetSelector {

  /** Returns the targets to try, in order of preference. */
  List<InetSocketAddress> candidates();
}
