package org.galenapost.core.action;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/** Reads the time out of idempotency keys that carry one. */
final class KeyTimestamp {

  private static final int TIME_ORDERED_UUID_VERSION = 7;
  private static final int BITS_BELOW_TIME = 16;

  private KeyTimestamp() {}

  /** Returns the time of a key that is a UUID of version 7. */
  static Optional<Instant> of(String key) {
    try {
      UUID uuid = UUID.fromString(key);
      return uuid.version() == TIME_ORDERED_UUID_VERSION
          ? Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> BITS_BELOW_TIME))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
