package org.galenapost.daemon.gateway.upstream;

import java.net.InetSocketAddress;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.net.IpAddresses;

/** Returns the address at which this daemon connects to a server. */
@FunctionalInterface
public interface ServerAddresses {

  /** Returns the address at which this daemon connects to a server. */
  InetSocketAddress of(ServerInstance server);

  /** Returns the addresses that the servers announce. */
  static ServerAddresses announced() {
    return server -> IpAddresses.socketAddress(server.ip(), server.port());
  }
}
