package org.galenapost.core.platform;

import java.math.BigInteger;

/**
 * Versions of a store that may be restored from a copy. A restored store gives out revisions again,
 * so a revision alone does not tell which of two writes is newer. A version combines the era of the
 * store, which rises with each restore, with the revision in that era. Versions compare like their
 * pairs. In a store that counts no eras, version and revision are equal.
 */
public final class StoreVersion {

  private static final int REVISION_BITS = 42;
  private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
  private static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

  private StoreVersion() {}

  /** Returns the era of a store that numbers its eras; the number may be larger than an era. */
  public static long eraOf(BigInteger number) {
    return number.mod(BigInteger.valueOf(MAX_ERA + 1)).longValue();
  }

  /**
   * Returns the version of a revision.
   *
   * @param era the era of the store, 0 for a store that counts no eras
   * @param revision the revision within the era
   * @throws IllegalArgumentException if one of the two is negative or too large
   */
  public static long of(long era, long revision) {
    if (era < 0 || era > MAX_ERA) {
      throw new IllegalArgumentException("era: expected 0 to " + MAX_ERA + ", but found " + era);
    }
    if (revision < 0 || revision > MAX_REVISION) {
      throw new IllegalArgumentException(
          "revision: expected 0 to " + MAX_REVISION + ", but found " + revision);
    }
    return (era << REVISION_BITS) | revision;
  }

  /** Returns the era of a version, 0 for a version below 0. */
  public static long era(long version) {
    return version < 0 ? 0 : version >>> REVISION_BITS;
  }

  /** Returns the revision of a version within its era; a version below 0 is returned unchanged. */
  public static long revision(long version) {
    return version < 0 ? version : version & MAX_REVISION;
  }
}
