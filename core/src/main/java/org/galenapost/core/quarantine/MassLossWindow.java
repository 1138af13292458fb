package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.time.MonotonicClock;

/**
 * Recognises many deaths at once that no single request can have caused, because it did not run on
 * all of those servers. A window ends after a quiet time.
 */
final class MassLossWindow {

  private static final Duration MAX_QUIET = Duration.ofSeconds(1);
  private static final Duration MAX_LENGTH = Duration.ofSeconds(10);
  private static final int MIN_UNEXPLAINED_SERVERS = 2;

  private final MonotonicClock clock;
  private final Set<String> serverIds = new HashSet<>();
  private final Map<RequestDigest, Set<String>> serverIdsByRequest = new HashMap<>();
  private final Map<RequestDigest, List<ServerLoss>> charges = new HashMap<>();
  private int mostServersOfOneRequest;
  private long startNanos;
  private long lastNanos;

  MassLossWindow(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds a death; returns whether there are now many at once. */
  boolean add(RequestDigest digest, ServerLoss death) {
    long now = clock.nanos();
    boolean isQuiet = now - lastNanos > MAX_QUIET.toNanos();
    if (isQuiet || now - startNanos > MAX_LENGTH.toNanos()) {
      clear(now);
    }
    lastNanos = now;
    serverIds.add(death.serverId());
    Set<String> own = serverIdsByRequest.computeIfAbsent(digest, key -> new HashSet<>());
    own.add(death.serverId());
    mostServersOfOneRequest = Math.max(mostServersOfOneRequest, own.size());
    charges.computeIfAbsent(digest, key -> new ArrayList<>()).add(death);
    return serverIds.size() - mostServersOfOneRequest >= MIN_UNEXPLAINED_SERVERS;
  }

  private void clear(long now) {
    serverIds.clear();
    serverIdsByRequest.clear();
    charges.clear();
    mostServersOfOneRequest = 0;
    startNanos = now;
  }

  /** Returns the deaths that were held against requests, and forgets them. */
  Map<RequestDigest, List<ServerLoss>> takeAttributedLosses() {
    Map<RequestDigest, List<ServerLoss>> taken = new HashMap<>(charges);
    charges.clear();
    return taken;
  }
}
