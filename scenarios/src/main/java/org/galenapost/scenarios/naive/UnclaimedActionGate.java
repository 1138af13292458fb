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

/** Sends every action at once, without a claim. */
final class UnclaimedActionGate implements ActionGate {

  @Override
  public CompletionStage<Either<Refusal, ActionDecision>> claim(ActionIdentity identity) {
    return CompletableFuture.completedFuture(
        Either.right(new ActionDecision.Send(new Permit(UUID.randomUUID().toString()))));
  }

  private record Permit(String attemptId) implements ActionPermit {

    @Override
    public boolean trySend() {
      return true;
    }

    @Override
    public void recordAnswer(ActionAnswer answer) {
      // Nothing is recorded.
    }

    @Override
    public void recordOutcomeUnknown() {
      // Nothing is recorded.
    }

    @Override
    public void release() {
      // Nothing was claimed.
    }
  }
}
