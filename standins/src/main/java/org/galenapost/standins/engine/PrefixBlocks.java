package org.galenapost.standins.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Splits text into blocks and identifies each prefix of whole blocks by a digest. */
public final class PrefixBlocks {

  /** The length of a block in characters. */
  public static final int BLOCK_CHARACTERS = 256;

  /** The length of a block in tokens. */
  static final int BLOCK_TOKENS = 64;

  private static final int DIGEST_BYTES = 8;

  private PrefixBlocks() {}

  /**
   * Returns the digests of all prefixes of whole blocks, shortest prefix first. A digest is the
   * first eight bytes of the SHA-256 of the prefix in UTF-8, as hexadecimal digits.
   */
  public static List<String> digests(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      List<String> digests = new ArrayList<>();
      for (int end = BLOCK_CHARACTERS; end <= text.length(); end += BLOCK_CHARACTERS) {
        String block = text.substring(end - BLOCK_CHARACTERS, end);
        digest.update(block.getBytes(StandardCharsets.UTF_8));
        byte[] prefixDigest = ((MessageDigest) digest.clone()).digest();
        digests.add(HexFormat.of().formatHex(prefixDigest, 0, DIGEST_BYTES));
      }
      return digests;
    } catch (NoSuchAlgorithmException | CloneNotSupportedException e) {
      throw new IllegalStateException(
          "no SHA-256 implementation that can be cloned is available", e);
    }
  }
}
