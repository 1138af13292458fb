package org.galenapost.daemon.generation;

import java.time.Duration;
import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.generation.ResumeHandle;
import org.galenapost.core.generation.RollingHash;
import org.galenapost.core.generation.StreamState;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.Verdict;

/** The reader's side of one generation: hands on what was accepted, until the answer is over. */
final class AnswerWriter {

  private final GenerationContext context;
  private final GenerationSink sink;
  private final String workspace;
  private final RequestDigest digest;
  private long lastTextNanos;
  private boolean hasText;
  private boolean mayHaveRun;
  private boolean isAwaitingResume;
  private boolean hasEnded;

  /**
   * Creates the reader's side.
   *
   * @param hasText whether the reader has part of the text already
   */
  AnswerWriter(
      GenerationContext context,
      GenerationRequest request,
      RequestDigest digest,
      GenerationSink sink,
      boolean hasText) {
    this.context = context;
    this.sink = sink;
    this.workspace = request.workspace();
    this.digest = digest;
    this.lastTextNanos = context.clock().nanos();
    this.hasText = hasText;
    this.mayHaveRun = hasText;
  }

  /** Hands on a token that an attempt brought, with the handle that continues after it. */
  void writeToken(LiveAttempt live, StreamState state, int offset, String text, RollingHash hash) {
    if (hasEnded) {
      return;
    }
    long now = context.clock().nanos();
    if (isAwaitingResume) {
      recordResume(live, offset, Duration.ofNanos(now - lastTextNanos));
    }
    lastTextNanos = now;
    hasText = true;
    ResumeHandle handle =
        new ResumeHandle(
            state.generationId(),
            live.id(),
            live.server().id(),
            state.pin().version().orElseThrow(),
            state.pin().seed(),
            offset + 1,
            hash,
            digest,
            context.wallClock().instant());
    sink.onToken(offset, text, context.handleCodec().encode(handle, workspace));
  }

  private void recordResume(LiveAttempt live, int offset, Duration silence) {
    isAwaitingResume = false;
    context.observer().onResumed(silence);
    String waited = " after " + silence.toMillis() + " ms";
    recordDecision(DecisionKind.RESUMED, "offset " + offset + " by " + live.id() + waited);
  }

  /** Notes that the next token comes after a loss. */
  void markAwaitingResume() {
    isAwaitingResume = true;
  }

  /** Notes that the request has been sent to an engine. */
  void markSentToEngine() {
    mayHaveRun = true;
  }

  void startNewGeneration(String generationId) {
    if (!hasEnded) {
      sink.onNewGeneration(generationId);
    }
  }

  void finish(String reason) {
    if (!hasEnded) {
      hasEnded = true;
      sink.onFinish(reason);
    }
  }

  /** Ends the answer; says that the request may have run once it has been sent to an engine. */
  void refuse(Refusal refusal) {
    if (!hasEnded) {
      hasEnded = true;
      sink.onRefusal(mayHaveRun ? asMayHaveRun(refusal) : refusal);
    }
  }

  private static Refusal asMayHaveRun(Refusal refusal) {
    return new Refusal(
        Verdict.MAY_HAVE_RUN, refusal.reason(), refusal.detail(), refusal.retryAfter());
  }

  void detach() {
    hasEnded = true;
  }

  boolean hasText() {
    return hasText;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  boolean isWritable() {
    return sink.isWritable();
  }

  void recordDecision(DecisionKind kind, String reason) {
    sink.onDecision(new Decision(kind, reason));
  }
}
