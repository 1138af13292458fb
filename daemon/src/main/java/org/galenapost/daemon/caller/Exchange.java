package org.galenapost.daemon.caller;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.explain.RequestTrace;

/** A request on its way through the filters, with what they have found out about it. */
public final class Exchange {

  private final CallerRequest request;
  private final CallerResponse response;
  private final RequestTrace trace;
  private final long startedNanos;
  private final AtomicInteger tokens = new AtomicInteger();
  private Optional<Workspace> workspace = Optional.empty();
  private Optional<Profile> profile = Optional.empty();
  private Optional<String> idempotencyKey = Optional.empty();
  private Optional<Target> target = Optional.empty();
  private volatile Runnable firstAnswerListener = () -> {};

  /**
   * Begins an exchange.
   *
   * @param request the request
   * @param response the way back to the caller
   * @param trace collects the decisions
   * @param startedNanos the monotonic clock's reading on arrival
   */
  public Exchange(
      CallerRequest request, CallerResponse response, RequestTrace trace, long startedNanos) {
    this.request = request;
    this.response = response;
    this.trace = trace;
    this.startedNanos = startedNanos;
  }

  /** Returns the request. */
  public CallerRequest request() {
    return request;
  }

  /** Returns the way back to the caller. */
  public CallerResponse response() {
    return response;
  }

  /** Returns the trace. */
  public RequestTrace trace() {
    return trace;
  }

  /** Returns the id of the request. */
  public String requestId() {
    return trace.requestId();
  }

  /** Returns the monotonic clock's reading on arrival. */
  public long startedNanos() {
    return startedNanos;
  }

  /** Returns the workspace of the caller, once authenticated. */
  public Optional<Workspace> workspace() {
    return workspace;
  }

  /** Sets the workspace of the caller. */
  public void setWorkspace(Workspace value) {
    workspace = Optional.of(value);
  }

  /** Returns the profile, once found. */
  public Optional<Profile> profile() {
    return profile;
  }

  /** Sets the profile. */
  public void setProfile(Profile value) {
    profile = Optional.of(value);
  }

  /** Returns the caller's idempotency key, if it sent one. */
  public Optional<String> idempotencyKey() {
    return idempotencyKey;
  }

  /** Sets the caller's idempotency key. */
  public void setIdempotencyKey(String value) {
    idempotencyKey = Optional.of(value);
  }

  /** Returns what the request asks for, once found. */
  public Optional<Target> target() {
    return target;
  }

  /** Sets what the request asks for. */
  public void setTarget(Target value) {
    target = Optional.of(value);
  }

  /** Sets what is called with the first part of the answer. */
  public void onFirstAnswer(Runnable listener) {
    firstAnswerListener = listener;
  }

  /** Counts a token of the answer; the answer of a plain service counts as one. */
  public void countToken() {
    if (tokens.getAndIncrement() == 0) {
      firstAnswerListener.run();
    }
  }

  /** Returns the tokens of the answer so far. */
  public int tokenCount() {
    return tokens.get();
  }

  /** Returns when the caller stops waiting, as a reading of the monotonic clock. */
  public long deadlineNanos() {
    return startedNanos + profile.orElseThrow().deadline().toNanos();
  }

  /** Adds a decision to the trace. */
  public void recordDecision(DecisionKind kind, String reason) {
    trace.add(new Decision(kind, reason));
  }

  /** Answers with a refusal. */
  public void refuse(Refusal refusal) {
    Objects.requireNonNull(refusal, "refusal");
    response.refuse(refusal);
  }
}
