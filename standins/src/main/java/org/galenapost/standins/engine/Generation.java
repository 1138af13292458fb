package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One attempt at a generation on this engine. Not safe for threads. */
final class Generation {

  private static final int CHARACTERS_PER_TOKEN = 4;

  private final CompletionBody body;
  private final String version;
  private final EngineText text;
  private final EngineText.Cursor cursor;
  private final List<String> tokens;
  private double remainingPrefillTokens;
  private double creditTokens;
  private boolean isCancelled;
  private Runnable onProgress = () -> {};

  Generation(CompletionBody body, String version) {
    this.body = body;
    this.version = version;
    this.text =
        EngineText.of(body.prompt(), body.seed(), body.model(), version, body.adapterName());
    this.cursor = text.cursor();
    this.tokens = new ArrayList<>(body.accepted());
    body.accepted().forEach(cursor::accept);
  }

  String id() {
    return body.requestId();
  }

  String model() {
    return body.model();
  }

  String version() {
    return version;
  }

  String prompt() {
    return body.prompt();
  }

  int priority() {
    return body.priority();
  }

  long detachedKeepMs() {
    return body.detachedKeepMs();
  }

  /** Returns the number of tokens so far, accepted ones included. */
  int length() {
    return tokens.size();
  }

  String token(int offset) {
    return tokens.get(offset);
  }

  /** Returns the prompt with the accepted tokens, which is what the engine must read first. */
  String prefix() {
    return body.prompt() + String.join("", body.accepted());
  }

  /** Returns the number of tokens that the engine reads before the first one it produces. */
  int prefixTokens() {
    int promptTokens = (body.prompt().length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    return promptTokens + body.accepted().size();
  }

  Optional<String> finishReason() {
    return length() >= text.length(body.maxTokens())
        ? Optional.of(text.finishReason(body.maxTokens()))
        : Optional.empty();
  }

  boolean hasEnded() {
    return isCancelled || finishReason().isPresent();
  }

  void cancel() {
    isCancelled = true;
  }

  boolean isCancelled() {
    return isCancelled;
  }

  void startPrefill(double uncachedTokens) {
    remainingPrefillTokens = uncachedTokens;
  }

  boolean isPrefilling() {
    return remainingPrefillTokens > 0;
  }

  /** Reads up to the given number of prefix tokens and returns how many it read. */
  double prefill(double budgetTokens) {
    double read = Math.min(remainingPrefillTokens, budgetTokens);
    remainingPrefillTokens -= read;
    return read;
  }

  /** Adds to the tokens that its own pace allows; no more than the given number are saved up. */
  void addCredit(double creditTokens, double maxCreditTokens) {
    creditTokens = Math.min(maxCreditTokens, creditTokens + creditTokens);
  }

  boolean hasTokenCredit() {
    return creditTokens >= 1;
  }

  void produceToken() {
    creditTokens--;
    tokens.add(cursor.next());
  }

  void onProgress(Runnable listener) {
    onProgress = listener;
  }

  void notifyProgress() {
    onProgress.run();
  }
}
