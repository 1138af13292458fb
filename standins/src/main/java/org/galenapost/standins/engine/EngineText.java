package org.galenapost.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of one generation, a pure function of prompt, seed, model, version and adapter.
 *
 * <p>Each token depends on all tokens before it, so that a wrong continuation shows at once:
 *
 * <pre>{@code
 * List<String> expected = EngineText.of(prompt, 7, "m1", "v1", Optional.empty()).tokens(400);
 * }</pre>
 *
 * <p>A prompt that contains {@code [stop-after=N]} ends by itself after N tokens.
 */
public final class EngineText {

  private static final Pattern STOP_MARKER = Pattern.compile("\\[stop-after=(\\d{1,9})]");

  private final byte[] initialState;
  private final OptionalInt naturalLength;

  private EngineText(byte[] firstState, OptionalInt naturalLength) {
    this.initialState = firstState;
    this.naturalLength = naturalLength;
  }

  /** Returns the text of a generation. */
  public static EngineText of(
      String prompt, long seed, String model, String version, Optional<String> adapter) {
    Objects.requireNonNull(prompt, "prompt");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    MessageDigest digest = sha256();
    updateLengthPrefixed(digest, prompt);
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(seed).array());
    updateLengthPrefixed(digest, model);
    updateLengthPrefixed(digest, version);
    updateLengthPrefixed(digest, adapter.orElse(""));
    return new EngineText(digest.digest(), naturalLength(prompt));
  }

  private static OptionalInt naturalLength(String prompt) {
    Matcher matcher = STOP_MARKER.matcher(prompt);
    return matcher.find()
        ? OptionalInt.of(Integer.parseInt(matcher.group(1)))
        : OptionalInt.empty();
  }

  /** Returns the tokens of the answer with the given limit. */
  public List<String> tokens(int maxTokens) {
    int length = length(maxTokens);
    List<String> tokens = new ArrayList<>(length);
    Cursor cursor = cursor();
    while (tokens.size() < length) {
      tokens.add(cursor.next());
    }
    return tokens;
  }

  /** Returns the whole answer with the given limit. */
  public String text(int maxTokens) {
    return String.join("", tokens(maxTokens));
  }

  /** Returns the number of tokens of the answer with the given limit. */
  public int length(int maxTokens) {
    return Math.min(maxTokens, naturalLength.orElse(maxTokens));
  }

  /** Returns why an answer with the given limit ends: {@code stop} or {@code length}. */
  public String finishReason(int maxTokens) {
    return naturalLength.isPresent() && naturalLength.getAsInt() <= maxTokens ? "stop" : "length";
  }

  /** Returns a cursor before the first token. */
  public Cursor cursor() {
    return new Cursor(initialState);
  }

  private static void updateLengthPrefixed(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** A place within the text. Not safe for threads. */
  public static final class Cursor {

    private final MessageDigest digest = sha256();
    private byte[] state;

    private Cursor(byte[] state) {
      this.state = state;
    }

    /** Returns the next token and moves past it. */
    public String next() {
      String token = Vocabulary.tokenAt(ByteBuffer.wrap(state).getInt());
      accept(token);
      return token;
    }

    /** Moves past a token that was already delivered, whether it is the right one or not. */
    public void accept(String token) {
      digest.update(state);
      updateLengthPrefixed(digest, token);
      state = digest.digest();
    }
  }
}
