package org.galenapost.core.generation;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

/**
 * The secret keys that authenticate resume handles. In a key rotation all daemons first accept the
 * new key, then sign with it, and then remove the old key.
 *
 * @param signingKeyId the id of the signing key
 * @param keys the accepted keys by id
 */
public record HandleKeys(String signingKeyId, Map<String, HandleKey> keys) {

  /** Checks the arguments and copies the keys. */
  public HandleKeys {
    keys = Map.copyOf(keys);
    if (!keys.containsKey(signingKeyId)) {
      throw new IllegalArgumentException("keys must hold the signing key " + signingKeyId);
    }
  }

  /** Returns a key set with a single key. */
  public static HandleKeys single(String keyId, HandleKey key) {
    return new HandleKeys(keyId, Map.of(keyId, key));
  }

  /** A secret key. */
  public static final class HandleKey {

    private static final int MIN_LENGTH_BYTES = 16;
    private final byte[] secret;

    /**
     * Creates a key from a copy of a secret.
     *
     * @throws IllegalArgumentException if it is shorter than 16 bytes
     */
    public HandleKey(byte[] secret) {
      Objects.requireNonNull(secret, "secret");
      if (secret.length < MIN_LENGTH_BYTES) {
        throw new IllegalArgumentException(
            "secret must have at least 16 bytes, but had " + secret.length);
      }
      this.secret = secret.clone();
    }

    /**
     * Returns the key whose secret is the UTF-8 encoding of a text.
     *
     * @throws IllegalArgumentException if it is shorter than 16 bytes in UTF-8
     */
    public static HandleKey ofText(String secret) {
      return new HandleKey(secret.getBytes(StandardCharsets.UTF_8));
    }

    byte[] secret() {
      return secret.clone();
    }
  }
}
