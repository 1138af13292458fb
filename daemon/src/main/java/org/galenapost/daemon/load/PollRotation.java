package org.galenapost.daemon.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.fleet.BackendServer;

/**
 * Takes the engines in turn for one kind of poll. An engine is passed over while a poll of it is
 * unanswered or its last one is younger than the interval.
 */
final class PollRotation {

  private final Duration minInterval;
  private final Map<String, Long> polledAtNanos = new HashMap<>();
  private final Set<String> inFlightIds = new HashSet<>();
  private List<BackendServer> engines = List.of();
  private int position;

  PollRotation(Duration minInterval) {
    this.minInterval = minInterval;
  }

  synchronized void setEngines(List<BackendServer> newEngines) {
    engines = new ArrayList<>(newEngines);
    polledAtNanos.keySet().retainAll(newEngines.stream().map(BackendServer::id).toList());
  }

  /** Returns the engine to poll now and counts it as unanswered, if one is due. */
  synchronized Optional<BackendServer> nextDue(long nowNanos) {
    for (int i = 0; i < engines.size(); i++) {
      position = (position + 1) % engines.size();
      BackendServer engine = engines.get(position);
      if (isDue(engine.id(), nowNanos) && inFlightIds.add(engine.id())) {
        polledAtNanos.put(engine.id(), nowNanos);
        return Optional.of(engine);
      }
    }
    return Optional.empty();
  }

  synchronized void markAnswered(String engineId) {
    inFlightIds.remove(engineId);
  }

  private boolean isDue(String engineId, long nowNanos) {
    Long last = polledAtNanos.get(engineId);
    return last == null || nowNanos - last >= minInterval.toNanos();
  }
}
