package org.galenapost.daemon.generation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.verdict.Refusal;

/** A reader that remembers what it got. */
final class RecordingSink implements GenerationSink {

  final List<String> tokens = new ArrayList<>();
  final List<Integer> offsets = new ArrayList<>();
  final List<Decision> decisions = new ArrayList<>();
  final List<String> newGenerations = new ArrayList<>();
  Optional<String> finish = Optional.empty();
  Optional<Refusal> refusal = Optional.empty();
  Optional<String> resumedId = Optional.empty();
  String lastHandle = "";
  boolean isWritable = true;

  @Override
  public void onResumed(String generationId) {
    resumedId = Optional.of(generationId);
  }

  @Override
  public void onToken(int offset, String text, String resumeHandle) {
    offsets.add(offset);
    tokens.add(text);
    lastHandle = resumeHandle;
  }

  @Override
  public void onNewGeneration(String generationId) {
    newGenerations.add(generationId);
    tokens.clear();
  }

  @Override
  public void onFinish(String finishReason) {
    finish = Optional.of(finishReason);
  }

  @Override
  public void onRefusal(Refusal given) {
    refusal = Optional.of(given);
  }

  @Override
  public void onDecision(Decision decision) {
    decisions.add(decision);
  }

  @Override
  public boolean isWritable() {
    return isWritable;
  }

  boolean hasDecision(DecisionKind kind) {
    return decisions.stream().anyMatch(decision -> decision.kind() == kind);
  }
}
