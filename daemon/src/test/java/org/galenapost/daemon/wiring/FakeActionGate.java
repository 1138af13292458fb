package org.galenapost.daemon.wiring;

import io.vavr.control.Either;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionDecision;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.action.ActionIdentity;
import org.galenapost.core.action.ActionPermit;
import org.galenapost.core.verdict.Refusal;

/** A gate that decides as planned, else gives a permit and notes what becomes of it. */
final class FakeActionGate implements ActionGate, ActionPermit {

  final List<String> events = new CopyOnWriteArrayList<>();
  final List<ActionIdentity> claimed = new CopyOnWriteArrayList<>();
  final Deque<Either<Refusal, ActionDecision>> plannedDecisions = new ConcurrentLinkedDeque<>();
  boolean maySend = true;

  @Override
  public CompletionStage<Either<Refusal, ActionDecision>> claim(ActionIdentity identity) {
    claimed.add(identity);
    Either<Refusal, ActionDecision> planned = plannedDecisions.poll();
    return CompletableFuture.completedFuture(
        planned == null ? Either.right(new ActionDecision.Send(this)) : planned);
  }

  @Override
  public String attemptId() {
    return "a-1";
  }

  @Override
  public boolean trySend() {
    events.add("try-send");
    return maySend;
  }

  @Override
  public void recordAnswer(ActionAnswer answer) {
    events.add("ran " + answer.httpStatus() + " " + answer.body().orElse(""));
  }

  @Override
  public void recordOutcomeUnknown() {
    events.add("outcome-unknown");
  }

  @Override
  public void release() {
    events.add("release");
  }
}
