package org.galenapost.daemon.gateway;

import org.galenapost.core.platform.ObjectStore;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.platform.PlatformHttpClient;

/** What a platform's own manner of speaking has to offer to the gateway. */
public interface GatewayAdapter {

  /** Returns the platform's objects; kinds and values are those of the gateway. */
  ObjectStore objectStore(PlatformHttpClient client);

  /** Returns the spelling of calls and answers. */
  CallFormat callFormat();
}
