package org.galenapost.daemon.generation;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import org.galenapost.core.loss.ServerPace;

/** Holds the observed pace of each server. This class is thread-safe. */
final class ServerPaces {

  private static final int MAX_SERVERS = 10_000;

  private final LoadingCache<String, ServerPace> paces =
      Caffeine.newBuilder()
          .maximumSize(MAX_SERVERS)
          .executor(Runnable::run)
          .build(serverId -> new ServerPace());

  ServerPace of(String serverId) {
    return paces.get(serverId);
  }
}
