package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.Scheduler;

/**
 * Fills an empty state from the peers while the platform is down. In each round it queries the
 * revisions of every peer and pulls each kind from the peer with the highest revision. It completes
 * once the state holds the highest revision of all peers that answered in the last round.
 */
public final class PeerColdStart {

  /** How often a daemon without a configuration asks the others for one. */
  public static final Duration ROUND_PERIOD = Duration.ofMillis(500);

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final Runnable onFilled;
  private final Map<String, List<KindRevision>> reports = new HashMap<>();
  private boolean isRunning;

  PeerColdStart(ConfigurationHolder state, PeerBus bus, Scheduler scheduler, Runnable onFilled) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.onFilled = onFilled;
    bus.onMessage(ConfigurationMessage.RevisionsReport.class, this::onReport);
  }

  synchronized void start() {
    isRunning = true;
    runRound();
  }

  synchronized void stop() {
    isRunning = false;
  }

  private synchronized void onReport(String senderId, ConfigurationMessage.RevisionsReport report) {
    if (isRunning && report.isComplete()) {
      reports.put(senderId, report.revisions());
    }
  }

  private synchronized void runRound() {
    if (!isRunning) {
      return;
    }
    Map<String, List<KindRevision>> pulls = pullsFromMostCurrentPeers();
    if (pulls.isEmpty() && !reports.isEmpty() && state.isComplete()) {
      isRunning = false;
      onFilled.run();
      return;
    }
    pulls.forEach((peer, revisions) -> bus.send(peer, new ConfigurationMessage.Pull(revisions)));
    reports.clear();
    bus.broadcast(new ConfigurationMessage.RevisionsQuery());
    scheduler.schedule(ROUND_PERIOD, this::runRound);
  }

  private Map<String, List<KindRevision>> pullsFromMostCurrentPeers() {
    Map<String, List<KindRevision>> pulls = new HashMap<>();
    for (KindRevision held : state.revisions()) {
      String mostCurrentPeer = null;
      long highest = held.revision();
      for (Map.Entry<String, List<KindRevision>> report : reports.entrySet()) {
        long reported = revisionOf(held.kind(), report.getValue());
        if (reported > highest) {
          highest = reported;
          mostCurrentPeer = report.getKey();
        }
      }
      if (mostCurrentPeer == null) {
        mostCurrentPeer = peerWithNewerContent(held);
      }
      if (mostCurrentPeer != null) {
        pulls.computeIfAbsent(mostCurrentPeer, id -> new ArrayList<>()).add(held);
      }
    }
    return pulls;
  }

  private String peerWithNewerContent(KindRevision held) {
    return reports.entrySet().stream()
        .filter(
            report ->
                report.getValue().stream()
                    .anyMatch(
                        reported ->
                            reported.kind() == held.kind()
                                && reported.contentVersion() > held.contentVersion()))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElse(null);
  }

  private static long revisionOf(ConfigurationKind kind, List<KindRevision> revisions) {
    return revisions.stream()
        .filter(revision -> revision.kind() == kind)
        .mapToLong(KindRevision::revision)
        .findFirst()
        .orElse(KindState.NOTHING_SEEN);
  }
}
