package org.galenapost.core.generation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for each chunk of each attempt whether it is the next part of one answer.
 *
 * <p>At most {@value #MAX_LIVE_ATTEMPTS} attempts are live. The first to bring the next offset
 * wins; the other loses its right to add to the answer. All attempts are started from here, so that
 * they share model, adapter, version, seed and sampling settings. Not safe for use by several
 * threads.
 */
public final class StreamState {

  /** The most attempts that may compete for the next token. */
  public static final int MAX_LIVE_ATTEMPTS = 2;

  private final TokenLog log = new TokenLog();
  private final Set<AttemptId> live = new LinkedHashSet<>();
  private String generationId;
  private GenerationPin pin;
  private int lastAttemptNumber;
  private RollingHash hash = RollingHash.EMPTY;
  private int deliveredTokens;
  private RollingHash deliveredHash;
  private boolean finished;

  private StreamState(
      String generationId,
      GenerationPin pin,
      int lastAttemptNumber,
      int deliveredTokens,
      RollingHash deliveredHash) {
    this.generationId = Objects.requireNonNull(generationId, "generationId");
    this.pin = Objects.requireNonNull(pin, "pin");
    this.lastAttemptNumber = lastAttemptNumber;
    this.deliveredTokens = deliveredTokens;
    this.deliveredHash = Objects.requireNonNull(deliveredHash, "deliveredHash");
  }

  /** Returns the state of a generation of which nothing is delivered. */
  public static StreamState fresh(String generationId, GenerationPin pin) {
    return new StreamState(generationId, pin, 0, 0, RollingHash.EMPTY);
  }

  /**
   * Returns the state of a generation whose reader has part of the text, which must be regained.
   *
   * @param generationId the generation
   * @param pin what all attempts share
   * @param lastAttemptNumber a number that no earlier attempt exceeds
   * @param deliveredTokens how many tokens the reader has
   * @param deliveredHash the hash of the text that the reader has
   */
  public static StreamState replaying(
      String generationId,
      GenerationPin pin,
      int lastAttemptNumber,
      int deliveredTokens,
      RollingHash deliveredHash) {
    return new StreamState(generationId, pin, lastAttemptNumber, deliveredTokens, deliveredHash);
  }

  /**
   * Returns a state that makes the whole text again, for a reader who has what was accepted here.
   */
  public StreamState restarted() {
    boolean isReplaying = isReplaying();
    return new StreamState(
        generationId,
        pin,
        lastAttemptNumber,
        isReplaying ? deliveredTokens : log.size(),
        isReplaying ? deliveredHash : hash);
  }

  /**
   * Starts an attempt after the tokens accepted so far.
   *
   * @throws IllegalStateException if the answer is complete or too many attempts are live
   */
  public AttemptStart startAttempt() {
    lastAttemptNumber++;
    AttemptId attempt = new AttemptId(generationId, lastAttemptNumber);
    admit(attempt);
    return new AttemptStart(attempt, pin, log.tokens());
  }

  /**
   * Takes over an attempt that already runs on an engine.
   *
   * @throws IllegalStateException if the answer is complete or too many attempts are live
   */
  public void adopt(AttemptId attempt) {
    lastAttemptNumber = Math.max(lastAttemptNumber, attempt.number());
    admit(attempt);
  }

  private void admit(AttemptId attempt) {
    if (finished) {
      throw new IllegalStateException("the answer of " + generationId + " is complete");
    }
    if (live.size() >= MAX_LIVE_ATTEMPTS) {
      throw new IllegalStateException(
          "expected fewer than " + MAX_LIVE_ATTEMPTS + " live attempts, but found " + live);
    }
    live.add(attempt);
  }

  /**
   * Ends an attempt, as when its server is lost; its later chunks are fenced.
   *
   * @return whether it was live
   */
  public boolean endAttempt(AttemptId attempt) {
    return live.remove(attempt);
  }

  /** Decides about a chunk. */
  public StreamOutcome apply(EngineEvent event) {
    if (finished || !live.contains(event.attempt())) {
      return new StreamOutcome.Fenced(event.attempt());
    }
    if (!pin.allows(event.model(), event.version())) {
      return end(event.attempt(), AttemptEndReason.VERSION_CHANGED);
    }
    if (event.offset() > log.size()) {
      return end(event.attempt(), AttemptEndReason.GAP);
    }
    return event instanceof EngineEvent.Token token
        ? onToken(token)
        : onFinish((EngineEvent.Finish) event);
  }

  private StreamOutcome onToken(EngineEvent.Token token) {
    if (token.offset() < log.size()) {
      return new StreamOutcome.Dropped(token.offset());
    }
    if (pin.version().isEmpty()) {
      pin = pin.withVersion(token.version());
    }
    List<AttemptId> losers = retainOnly(token.attempt());
    log.append(token.text());
    hash = hash.append(token.text());
    if (log.size() > deliveredTokens) {
      return new StreamOutcome.Accepted(token.offset(), token.text(), hash, losers);
    }
    boolean differs = log.size() == deliveredTokens && !hash.equals(deliveredHash);
    return differs
        ? new StreamOutcome.Diverged(log.tokens(), Optional.empty(), losers)
        : new StreamOutcome.Withheld(token.offset(), losers);
  }

  private StreamOutcome onFinish(EngineEvent.Finish finish) {
    if (finish.offset() < log.size()) {
      return end(finish.attempt(), AttemptEndReason.SHORT_FINISH);
    }
    finished = true;
    List<AttemptId> losers = retainOnly(finish.attempt());
    return log.size() < deliveredTokens
        ? new StreamOutcome.Diverged(log.tokens(), Optional.of(finish.reason()), losers)
        : new StreamOutcome.Finished(finish.reason(), losers);
  }

  private StreamOutcome end(AttemptId attempt, AttemptEndReason reason) {
    live.remove(attempt);
    return new StreamOutcome.AttemptEnded(attempt, reason);
  }

  private List<AttemptId> retainOnly(AttemptId winner) {
    if (live.size() == 1) {
      return List.of();
    }
    List<AttemptId> losers = new ArrayList<>(live);
    losers.remove(winner);
    live.retainAll(Set.of(winner));
    return losers;
  }

  /**
   * Declares the tokens held here to be a new generation, of which nothing is delivered; the live
   * attempt goes on.
   */
  public void continueAsNewGeneration(String newGenerationId) {
    generationId = Objects.requireNonNull(newGenerationId, "newGenerationId");
    deliveredTokens = 0;
    deliveredHash = RollingHash.EMPTY;
  }

  /** Returns the id of the generation. */
  public String generationId() {
    return generationId;
  }

  /** Returns the attempts that may add to the answer. */
  public Set<AttemptId> liveAttempts() {
    return Set.copyOf(live);
  }

  /** Returns how many attempts may add to the answer. */
  public int liveAttemptCount() {
    return live.size();
  }

  /** Returns whether an attempt may add to the answer. */
  public boolean isLive(AttemptId attempt) {
    return live.contains(attempt);
  }

  /** Returns what every attempt must share. */
  public GenerationPin pin() {
    return pin;
  }

  /** Returns the offset of the token that is wanted next. */
  public int nextOffset() {
    return log.size();
  }

  /** Returns whether text that the reader already has is still being regained. */
  public boolean isReplaying() {
    return log.size() < deliveredTokens;
  }

  /** Returns whether the answer is complete. */
  public boolean isFinished() {
    return finished;
  }
}
