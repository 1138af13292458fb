package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.time.MonotonicClock;

/** Holds the isolation claims by server. A claim expires unless it is renewed. */
final class IsolationClaims {

  private static final Duration CLAIM_TTL = Duration.ofSeconds(15);

  private final MonotonicClock clock;
  private final Map<String, Map<RequestDigest, Long>> claimedAtNanos = new HashMap<>();

  IsolationClaims(MonotonicClock clock) {
    this.clock = clock;
  }

  void add(String serverId, RequestDigest digest) {
    claimedAtNanos.computeIfAbsent(serverId, id -> new HashMap<>()).put(digest, clock.nanos());
  }

  void remove(String serverId, RequestDigest digest) {
    Map<RequestDigest, Long> claims = claimedAtNanos.get(serverId);
    if (claims != null) {
      claims.remove(digest);
      if (claims.isEmpty()) {
        claimedAtNanos.remove(serverId);
      }
    }
  }

  boolean isHeldBy(String serverId, RequestDigest digest) {
    expire();
    return claimedAtNanos.getOrDefault(serverId, Map.of()).containsKey(digest);
  }

  boolean isHeldByOther(String serverId, RequestDigest digest) {
    expire();
    Map<RequestDigest, Long> claims = claimedAtNanos.getOrDefault(serverId, Map.of());
    return claims.size() > (claims.containsKey(digest) ? 1 : 0);
  }

  Set<String> serversOfOthers(RequestDigest digest) {
    expire();
    Set<String> servers = new HashSet<>();
    claimedAtNanos.forEach(
        (serverId, claims) -> {
          if (claims.size() > (claims.containsKey(digest) ? 1 : 0)) {
            servers.add(serverId);
          }
        });
    return servers;
  }

  private void expire() {
    long now = clock.nanos();
    claimedAtNanos
        .values()
        .removeIf(
            claims -> {
              claims.values().removeIf(claimNanos -> now - claimNanos > CLAIM_TTL.toNanos());
              return claims.isEmpty();
            });
  }
}
