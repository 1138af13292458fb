package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Asks peers for newer configuration before a starting daemon becomes ready. The platform's store
 * may have been restored from a copy that is older than the configuration in force. The daemon
 * becomes ready once it holds the newest version of enough peers, at the latest after {@link
 * #MAX_WAIT}, so that it also starts when its peers are gone or silent.
 */
final class PeerVersionCheck {

  /** Covers the first connections to peers and the transfer of a large configuration. */
  static final Duration MAX_WAIT = Duration.ofMillis(700);

  private static final Duration ROUND_PERIOD = Duration.ofMillis(50);
  private static final int MAX_ROUNDS = (int) MAX_WAIT.dividedBy(ROUND_PERIOD);

  /** After so many rounds, an unanswered pull is sent again. */
  private static final int ROUNDS_PER_PULL = 4;

  private static final int MAX_ASKED_PEERS = 8;

  /** The number of ready peers whose answers suffice, although others have not answered. */
  private static final int SUFFICIENT_READY_PEERS = 3;

  /** After so many rounds, ready peers would have answered, so that a majority suffices. */
  private static final int ROUNDS_TO_MAJORITY = 5;

  private final ConfigurationHolder state;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final StartCheck startCheck;
  private final Runnable onEnd;
  private final Set<String> askedPeers = new LinkedHashSet<>();
  private final Map<String, ConfigurationMessage.RevisionsReport> reports = new HashMap<>();
  private boolean isStarted;
  private boolean isRunning;
  private int rounds;
  private long pulledVersion;

  /**
   * Creates a check and registers its message handler.
   *
   * @param state the configuration that this daemon holds
   * @param bus asks the peers
   * @param scheduler runs the rounds
   * @param random chooses the peers to ask in a large fleet
   * @param startCheck tells how many peers are known and receives the outcome
   * @param onEnd run once when the daemon may become ready
   */
  PeerVersionCheck(
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      StartCheck startCheck,
      Runnable onEnd) {
    this.state = state;
    this.bus = bus;
    this.scheduler = scheduler;
    this.random = random;
    this.startCheck = startCheck;
    this.onEnd = onEnd;
    bus.onMessage(ConfigurationMessage.RevisionsReport.class, this::onReport);
  }

  /** Starts the check, unless it was started before. */
  synchronized void start() {
    if (isStarted) {
      return;
    }
    isStarted = true;
    isRunning = true;
    runRound();
  }

  synchronized void stop() {
    isStarted = true;
    isRunning = false;
  }

  private synchronized void runRound() {
    if (!isRunning) {
      return;
    }
    choosePeers();
    boolean isConfirmed = !needsPeers() || isConfirmed();
    if (isConfirmed || rounds == MAX_ROUNDS) {
      isRunning = false;
      startCheck.onOutcome().accept(new StartCheck.Outcome(isConfirmed, reports.size()));
      onEnd.run();
      return;
    }
    boolean isPullDue = rounds % ROUNDS_PER_PULL == 0;
    if (isPullDue) {
      pulledVersion = ContentVersions.NONE;
    }
    askedPeers.stream()
        .filter(peer -> isPullDue || !reports.containsKey(peer))
        .forEach(peer -> bus.send(peer, new ConfigurationMessage.RevisionsQuery()));
    rounds++;
    scheduler.schedule(ROUND_PERIOD, this::runRound);
  }

  /** Returns whether this daemon follows a kind of which peers may know a newer version. */
  private boolean needsPeers() {
    return state.kinds().stream().anyMatch(ContentVersions::isVersioned);
  }

  private void choosePeers() {
    List<String> others = new ArrayList<>(bus.livePeerIds());
    others.removeAll(askedPeers);
    while (askedPeers.size() < MAX_ASKED_PEERS && !others.isEmpty()) {
      askedPeers.add(others.remove(random.nextIndex(others.size())));
    }
  }

  private boolean isConfirmed() {
    if (reports.values().stream()
        .anyMatch(report -> highestMissing(report) > ContentVersions.NONE)) {
      return false;
    }
    long readyPeers =
        reports.values().stream().filter(ConfigurationMessage.RevisionsReport::isReady).count();
    boolean haveAllAnswered = reports.keySet().containsAll(askedPeers);
    boolean areAllKnownAsked = askedPeers.size() >= startCheck.knownPeerCount().getAsInt();
    boolean hasFleetRestarted =
        readyPeers == 0 && rounds >= ROUNDS_TO_MAJORITY && 2 * reports.size() > askedPeers.size();
    return readyPeers >= SUFFICIENT_READY_PEERS
        || hasFleetRestarted
        || (haveAllAnswered && (readyPeers > 0 || areAllKnownAsked));
  }

  private synchronized void onReport(String sender, ConfigurationMessage.RevisionsReport report) {
    if (!isRunning || !askedPeers.contains(sender)) {
      return;
    }
    reports.put(sender, report);
    long missing = highestMissing(report);
    if (missing > pulledVersion) {
      pulledVersion = missing;
      bus.send(sender, new ConfigurationMessage.Pull(state.revisions()));
    }
  }

  /** Returns the highest reported version that this daemon lacks, {@code NONE} if it lacks none. */
  private long highestMissing(ConfigurationMessage.RevisionsReport report) {
    return report.revisions().stream()
        .filter(reported -> state.kinds().contains(reported.kind()))
        .filter(reported -> reported.contentVersion() > state.contentVersion(reported.kind()))
        .mapToLong(KindRevision::contentVersion)
        .max()
        .orElse(ContentVersions.NONE);
  }
}
