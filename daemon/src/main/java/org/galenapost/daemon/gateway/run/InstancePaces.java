package org.galenapost.daemon.gateway.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.loss.ServerPace;

/** Keeps the usual pace of each server. Used on one event loop. */
public final class InstancePaces {

  private final Map<InstanceKey, ServerPace> paces = new HashMap<>();

  /** Returns the pace of a server. */
  ServerPace of(InstanceKey instance) {
    return paces.computeIfAbsent(instance, key -> new ServerPace());
  }

  /** Forgets every server but the given ones. */
  public void retainOnly(Set<InstanceKey> instances) {
    paces.keySet().retainAll(instances);
  }
}
