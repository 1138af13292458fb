package org.galenapost.core.action;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.verdict.Refusal;

/** Ensures that each non-idempotent request is sent at most once. */
@FunctionalInterface
public interface ActionGate {

  /**
   * Claims an action. The permit is granted only after the claim is stored in the platform's object
   * API.
   *
   * @param identity the action
   * @return the permit to send the request once, the recorded response of an action that has
   *     already run, or the refusal with its verdict
   */
  CompletionStage<Either<Refusal, ActionDecision>> claim(ActionIdentity identity);
}
