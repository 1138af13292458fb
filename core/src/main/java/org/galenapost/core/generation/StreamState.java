package org.galenapost.core.generation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Assembles one answer from the events of several attempts.
 *
 * <p>At most {@value #MAX_LIVE_ATTEMPTS} attempts are live at a time. The first one to produce the
 * next offset wins, and later events of the other one are dropped. All attempts are started here,
 * so that they share model, adapter, version, seed and sampling settings. Not safe for use by
 * several threads.
 */
public final class StreamState {

  /** The maximum number of attempts that compete for the next token. */
  public static final int MAX_LIVE_ATTEMPTS = 2;

  private final TokenLog log = new TokenLog();
  private final Set<AttemptId> liveAttempts = new LinkedHashSet<>();
  private String generationId;
  private GenerationPin pin;
  private int lastAttemptNumber;
  private RollingHash hash = RollingHash.EMPTY;
  private int deliveredTokens;
  private RollingHash deliveredHash;
  private boolean isFinished;

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

  /** Returns the state of a generation of which no token has been delivered. */
  public static StreamState fresh(String generationId, GenerationPin pin) {
    return new StreamState(generationId, pin, 0, 0, RollingHash.EMPTY);
  }

  /**
   * Returns the state of a generation whose reader already has part of the text. That part is
   * generated again and compared, but not delivered.
   *
   * @param generationId the generation
   * @param pin the settings that all attempts share
   * @param lastAttemptNumber an upper bound of the numbers of earlier attempts
   * @param deliveredTokens the number of tokens that the reader has
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
   * Returns a state that generates the whole text again, for a reader that has the tokens accepted
   * so far.
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
   * Starts an attempt that continues after the tokens accepted so far.
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
   * Adds an attempt that already runs on an engine.
   *
   * @throws IllegalStateException if the answer is complete or too many attempts are live
   */
  public void adopt(AttemptId attempt) {
    lastAttemptNumber = Math.max(lastAttemptNumber, attempt.number());
    admit(attempt);
  }

  private void admit(AttemptId attempt) {
    if (isFinished) {
      throw new IllegalStateException("the answer of " + generationId + " is complete");
    }
    if (liveAttempts.size() >= MAX_LIVE_ATTEMPTS) {
      throw new IllegalStateException(
          "expected fewer than " + MAX_LIVE_ATTEMPTS + " live attempts, but found " + liveAttempts);
    }
    liveAttempts.add(attempt);
  }

  /**
   * Ends an attempt, for example when its server is lost. Its later events are fenced.
   *
   * @return whether it was live
   */
  public boolean endAttempt(AttemptId attempt) {
    return liveAttempts.remove(attempt);
  }

  /** Applies an event and returns its outcome. */
  public StreamOutcome apply(EngineEvent event) {
    if (isFinished || !liveAttempts.contains(event.attempt())) {
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
    isFinished = true;
    List<AttemptId> losers = retainOnly(finish.attempt());
    return log.size() < deliveredTokens
        ? new StreamOutcome.Diverged(log.tokens(), Optional.of(finish.reason()), losers)
        : new StreamOutcome.Finished(finish.reason(), losers);
  }

  private StreamOutcome end(AttemptId attempt, AttemptEndReason reason) {
    liveAttempts.remove(attempt);
    return new StreamOutcome.AttemptEnded(attempt, reason);
  }

  private List<AttemptId> retainOnly(AttemptId winner) {
    if (liveAttempts.size() == 1) {
      return List.of();
    }
    List<AttemptId> losers = new ArrayList<>(liveAttempts);
    losers.remove(winner);
    liveAttempts.retainAll(Set.of(winner));
    return losers;
  }

  /**
   * Turns the accepted tokens into the start of a new generation, of which no token has been
   * delivered. The live attempt continues.
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

  /** Returns the attempts whose events are accepted. */
  public Set<AttemptId> liveAttempts() {
    return Set.copyOf(liveAttempts);
  }

  /** Returns the number of attempts whose events are accepted. */
  public int liveAttemptCount() {
    return liveAttempts.size();
  }

  /** Returns whether the events of an attempt are accepted. */
  public boolean isLive(AttemptId attempt) {
    return liveAttempts.contains(attempt);
  }

  /** Returns the settings that all attempts share. */
  public GenerationPin pin() {
    return pin;
  }

  /** Returns the offset of the next token. */
  public int nextOffset() {
    return log.size();
  }

  /** Returns whether text that the reader already has is still being generated again. */
  public boolean isReplaying() {
    return log.size() < deliveredTokens;
  }

  /** Returns whether the answer is complete. */
  public boolean isFinished() {
    return isFinished;
  }
}
