package org.galenapost.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes bearer keys, so that configuration never contains the keys themselves. */
public final class KeyDigest {

  private static final String ALGORITHM = "SHA-256";

  private KeyDigest() {}

  /** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
  public static String sha256Hex(String key) {
    return HexFormat.of().formatHex(sha256(key.getBytes(StandardCharsets.UTF_8)));
  }

  private static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance(ALGORITHM).digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("message digest " + ALGORITHM + " is not available", e);
    }
  }
}
