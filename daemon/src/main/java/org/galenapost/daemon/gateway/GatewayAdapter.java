package org.galenapost.daemon.gateway;

import org.galenapost.core.platform.ObjectStore;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.platform.PlatformHttpClient;

/** Connects the gateway to the object store and the wire format of one platform. */
public interface GatewayAdapter {

  /**
   * Returns the platform's object store, with kinds and values translated to those of the gateway.
   *
   * @param client sends the requests to the platform
   */
  ObjectStore objectStore(PlatformHttpClient client);

  /** Returns the wire format of calls and responses. */
  CallFormat callFormat();
}
