package org.galenapost.core.generation;

/**
 * A 64-bit FNV-1a hash of a text that grows token by token. The hash does not depend on the token
 * boundaries.
 *
 * @param value the hash of the text so far
 */
public record RollingHash(long value) {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final int BYTE_BITS = 8;
  private static final int BYTE_MASK = 0xff;

  /** The hash of the empty text. */
  public static final RollingHash EMPTY = new RollingHash(OFFSET_BASIS);

  /** Returns the hash of the text so far with the given text appended. */
  public RollingHash append(String text) {
    long hash = value;
    for (int i = 0; i < text.length(); i++) {
      char unit = text.charAt(i);
      hash = (hash ^ (unit & BYTE_MASK)) * PRIME;
      hash = (hash ^ (unit >>> BYTE_BITS)) * PRIME;
    }
    return new RollingHash(hash);
  }
}
