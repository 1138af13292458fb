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
 * Detects the loss of several servers at once that no single request can have caused: every request
 * was absent from at least {@value #MIN_UNEXPLAINED_SERVERS} of the lost servers. A window ends
 * after an interval without losses, or after a maximum duration.
 */
final class MassLossWindow {

  private static final Duration MAX_GAP = Duration.ofSeconds(1);
  private static final Duration MAX_LENGTH = Duration.ofSeconds(10);
  private static final int MIN_UNEXPLAINED_SERVERS = 2;

  private final MonotonicClock clock;
  private final Set<String> serverIds = new HashSet<>();
  private final Map<RequestDigest, Set<String>> serverIdsByRequest = new HashMap<>();
  private final Map<RequestDigest, List<ServerLoss>> attributedLosses = new HashMap<>();
  private int maxServersOfOneRequest;
  private long startNanos;
  private long lastNanos;

  MassLossWindow(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds a loss and returns whether the window now holds a mass loss. */
  boolean add(RequestDigest digest, ServerLoss loss) {
    long nowNanos = clock.nanos();
    boolean isGapExceeded = nowNanos - lastNanos > MAX_GAP.toNanos();
    if (isGapExceeded || nowNanos - startNanos > MAX_LENGTH.toNanos()) {
      clear(nowNanos);
    }
    lastNanos = nowNanos;
    serverIds.add(loss.serverId());
    Set<String> requestServerIds =
        serverIdsByRequest.computeIfAbsent(digest, key -> new HashSet<>());
    requestServerIds.add(loss.serverId());
    maxServersOfOneRequest = Math.max(maxServersOfOneRequest, requestServerIds.size());
    attributedLosses.computeIfAbsent(digest, key -> new ArrayList<>()).add(loss);
    return serverIds.size() - maxServersOfOneRequest >= MIN_UNEXPLAINED_SERVERS;
  }

  private void clear(long nowNanos) {
    serverIds.clear();
    serverIdsByRequest.clear();
    attributedLosses.clear();
    maxServersOfOneRequest = 0;
    startNanos = nowNanos;
  }

  /** Returns the losses that were attributed to requests, and removes them. */
  Map<RequestDigest, List<ServerLoss>> takeAttributedLosses() {
    Map<RequestDigest, List<ServerLoss>> removed = new HashMap<>(attributedLosses);
    attributedLosses.clear();
    return removed;
  }
}
