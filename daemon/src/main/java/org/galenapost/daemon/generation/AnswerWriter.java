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

/** Writes the answer of one generation to the sink of its reader, until the answer has ended. */
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
   * Creates a writer.
   *
   * @param context the shared services and settings
   * @param request the caller's request
   * @param digest the digest of the request, which resume handles carry
   * @param sink the sink of the reader
   * @param hasText whether the reader has already received part of the text
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

  /** Writes a token of an attempt, with the resume handle for the position after it. */
  void writeToken(
      LiveAttempt attempt, StreamState state, int offset, String text, RollingHash hash) {
    if (hasEnded) {
      return;
    }
    long now = context.clock().nanos();
    if (isAwaitingResume) {
      recordResume(attempt, offset, Duration.ofNanos(now - lastTextNanos));
    }
    lastTextNanos = now;
    hasText = true;
    ResumeHandle handle =
        new ResumeHandle(
            state.generationId(),
            attempt.id(),
            attempt.server().id(),
            state.pin().version().orElseThrow(),
            state.pin().seed(),
            offset + 1,
            hash,
            digest,
            context.wallClock().instant());
    sink.onToken(offset, text, context.handleCodec().encode(handle, workspace));
  }

  private void recordResume(LiveAttempt attempt, int offset, Duration silence) {
    isAwaitingResume = false;
    context.observer().onResumed(silence);
    String delay = " after " + silence.toMillis() + " ms";
    recordDecision(DecisionKind.RESUMED, "offset " + offset + " by " + attempt.id() + delay);
  }

  /** Marks that the reader waits for a resume, so that the next token is recorded as one. */
  void markAwaitingResume() {
    isAwaitingResume = true;
  }

  /** Marks that the request was sent to an engine, so that a refusal says it may have run. */
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

  /**
   * Ends the answer with a refusal. Its verdict is MAY_HAVE_RUN if the request was sent to an
   * engine.
   */
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

  /** Ends the answer without writing to the sink, because the reader has disconnected. */
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
