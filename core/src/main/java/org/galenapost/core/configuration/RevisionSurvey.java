package org.galenapost.core.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerCalls;
import org.galenapost.core.time.Scheduler;

/**
 * Asks every known daemon, reachable or not, whether one version of an object is in force there.
 */
public final class RevisionSurvey {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final String ownId;
  private final ConfigurationHolder state;
  private final Supplier<Set<String>> peerIds;
  private final PeerCalls<ConfigurationMessage.InForceReport> calls;

  /**
   * Creates a survey.
   *
   * @param ownId this daemon, which answers from its own state
   * @param state the configuration in force here
   * @param bus carries the questions
   * @param scheduler runs the timeout
   * @param peerIds the other daemons, with those that are believed lost but not known to have left
   */
  public RevisionSurvey(
      String ownId,
      ConfigurationHolder state,
      PeerBus bus,
      Scheduler scheduler,
      Supplier<Set<String>> peerIds) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    this.state = Objects.requireNonNull(state, "state");
    this.peerIds = Objects.requireNonNull(peerIds, "peerIds");
    calls =
        new PeerCalls<>(bus, scheduler, ConfigurationMessage.InForceReport.class, ANSWER_TIMEOUT);
  }

  /** Returns one answer per known daemon, after a second at most. */
  public CompletionStage<List<DaemonRevisions>> query(
      ConfigurationKind kind, String name, long version) {
    List<CompletableFuture<DaemonRevisions>> answers = new ArrayList<>();
    boolean isInForceHere = state.hasReached(kind, name, version);
    answers.add(
        CompletableFuture.completedFuture(
            new DaemonRevisions(ownId, true, isInForceHere, state.revisions())));
    for (String peerId : peerIds.get()) {
      answers.add(
          calls
              .call(peerId, id -> new ConfigurationMessage.InForceQuery(id, kind, name, version))
              .thenApply(reply -> toDaemonRevisions(peerId, reply))
              .toCompletableFuture());
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(done -> answers.stream().map(CompletableFuture::join).toList());
  }

  private static DaemonRevisions toDaemonRevisions(
      String peerId, Optional<ConfigurationMessage.InForceReport> reply) {
    return reply
        .map(report -> new DaemonRevisions(peerId, true, report.isInForce(), report.revisions()))
        .orElseGet(() -> new DaemonRevisions(peerId, false, false, List.of()));
  }
}
