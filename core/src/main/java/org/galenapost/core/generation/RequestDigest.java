package org.galenapost.core.generation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Identifies the content of a request. The digest is the same on every daemon and for every
 * repetition.
 *
 * <p>The seed is not included, so that the repetition of a request without a seed has the same
 * digest.
 *
 * @param hex the digest as 32 hexadecimal digits
 */
public record RequestDigest(String hex) {

  /** The length of the digest. */
  public static final int LENGTH_BYTES = 16;

  /** Checks the argument. */
  public RequestDigest {
    Objects.requireNonNull(hex, "hex");
    if (hex.length() != 2 * LENGTH_BYTES) {
      throw new IllegalArgumentException("hex must have 32 digits, but was " + hex);
    }
  }

  /** Returns the digest of a request. */
  public static RequestDigest of(GenerationRequest request) {
    MessageDigest sha = sha256();
    update(sha, request.workspace());
    update(sha, request.model());
    update(sha, request.adapter().orElse(""));
    update(sha, request.prompt());
    update(sha, Double.toString(request.temperature()));
    update(sha, Double.toString(request.topP()));
    update(sha, Integer.toString(request.maxTokens()));
    return ofBytes(Arrays.copyOf(sha.digest(), LENGTH_BYTES));
  }

  /** Returns the digest of a request whose parts are given in a fixed order. */
  public static RequestDigest ofParts(byte[]... parts) {
    MessageDigest sha = sha256();
    for (byte[] part : parts) {
      update(sha, part);
    }
    return ofBytes(Arrays.copyOf(sha.digest(), LENGTH_BYTES));
  }

  static RequestDigest ofBytes(byte[] bytes) {
    return new RequestDigest(HexFormat.of().formatHex(bytes));
  }

  byte[] bytes() {
    return HexFormat.of().parseHex(hex);
  }

  private static void update(MessageDigest sha, String part) {
    update(sha, part.getBytes(StandardCharsets.UTF_8));
  }

  private static void update(MessageDigest sha, byte[] bytes) {
    sha.update(Integer.toString(bytes.length).getBytes(StandardCharsets.US_ASCII));
    sha.update((byte) ':');
    sha.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing", e);
    }
  }
}
