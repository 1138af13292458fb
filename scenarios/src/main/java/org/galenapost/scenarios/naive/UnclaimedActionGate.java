package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionDecision;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.action.ActionIdentity;
import org.galenapost.core.action.ActionPermit;
import org.galenapost.core.verdict.Refusal;

/** Permits every action at once, without acquiring a claim. */
final class UnclaimedActionGate implements ActionGate {

  @Override
  public CompletionStage<Either<Refusal, ActionDecision>> claim(ActionIdentity identity) {
    return CompletableFuture.completedFuture(
        Either.right(new ActionDecision.Send(new UnclaimedPermit(UUID.randomUUID().toString()))));
  }

  private record UnclaimedPermit(String attemptId) implements ActionPermit {

    @Override
    public boolean trySend() {
      return true;
    }

    @Override
    public void recordAnswer(ActionAnswer answer) {
      // Without a claim there is no record to update.
    }

    @Override
    public void recordOutcomeUnknown() {
      // Without a claim there is no record to update.
    }

    @Override
    public void release() {
      // There is no claim to release.
    }
  }
}
