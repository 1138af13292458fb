package org.galenapost.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Computes digests of calls. The length of each part is digested before the part, so that different
 * splits of the same bytes have different digests.
 */
public final class CallDigest {

  private static final String ALGORITHM = "SHA-256";

  private CallDigest() {}

  /** Returns the SHA-256 digest of two strings, in UTF-8, and a body. */
  public static byte[] sha256(String first, String second, byte[] body) {
    MessageDigest digest = newDigest();
    update(digest, first.getBytes(StandardCharsets.UTF_8));
    update(digest, second.getBytes(StandardCharsets.UTF_8));
    update(digest, body);
    return digest.digest();
  }

  private static void update(MessageDigest digest, byte[] part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
    digest.update(part);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("message digest " + ALGORITHM + " is not available", e);
    }
  }
}
