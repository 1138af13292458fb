package org.galenapost.daemon.gateway.run;

import java.util.Optional;
import java.util.function.Consumer;
import org.galenapost.core.prompt.PartIds;
import org.galenapost.core.quarantine.PromptPartQuarantine;
import org.galenapost.core.verdict.Refusal;

/** Refuses or stops one call if a part of its prompt crashes servers, and clears its parts. */
final class PromptPartCheck {

  private final PromptPartQuarantine quarantine;
  private final PartIds partIds;
  private final Consumer<Refusal> onRefused;
  private Runnable watch = () -> {};
  private boolean isAnswered;

  /**
   * Creates a check for a call that is not sent yet.
   *
   * @param quarantine the parts known to all calls
   * @param partIds the parts of the call's prompt that other calls may share
   * @param onRefused receives the refusal of a call in progress
   */
  PromptPartCheck(PromptPartQuarantine quarantine, PartIds partIds, Consumer<Refusal> onRefused) {
    this.quarantine = quarantine;
    this.partIds = partIds;
    this.onRefused = onRefused;
  }

  /** Returns the refusal of the call before a send. */
  Optional<Refusal> refusal() {
    return quarantine.check(partIds);
  }

  /** Starts to watch a call that was sent to a server. */
  void onSent(String serverId) {
    watch.run();
    watch = isAnswered ? () -> {} : quarantine.watch(serverId, partIds, onRefused);
  }

  /** Clears the parts once a server is past the beginning of its answer. */
  void onEvents(long eventCount) {
    if (eventCount >= PromptPartQuarantine.PROOF_EVENTS) {
      onAnswered();
    }
  }

  /** Clears the parts, since a server has answered the call. */
  void onAnswered() {
    if (!isAnswered) {
      isAnswered = true;
      watch.run();
      quarantine.onAnswered(partIds);
    }
  }

  /** Records the loss of a server that had sent so many events of its answer. */
  void onServerLost(String serverId, long eventCount) {
    boolean isPastBeginning = eventCount >= PromptPartQuarantine.PROOF_EVENTS;
    quarantine.onServerLost(serverId, isPastBeginning ? PartIds.none() : partIds);
  }

  /** Ends the watch. */
  void stop() {
    watch.run();
  }
}
