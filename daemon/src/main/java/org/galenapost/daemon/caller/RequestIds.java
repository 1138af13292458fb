package org.galenapost.daemon.caller;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates random ids that are unique across daemons. */
public final class RequestIds {

  private static final int REQUEST_ID_BYTES = 8;
  private static final int GENERATION_ID_BYTES = 16;
  private static final SecureRandom RANDOM = new SecureRandom();

  private RequestIds() {}

  /** Returns a new request id. */
  public static String newRequestId() {
    return "r-" + randomHex(REQUEST_ID_BYTES);
  }

  /** Returns a new generation id. */
  public static String newGenerationId() {
    return "g-" + randomHex(GENERATION_ID_BYTES);
  }

  private static String randomHex(int byteCount) {
    byte[] bytes = new byte[byteCount];
    RANDOM.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
