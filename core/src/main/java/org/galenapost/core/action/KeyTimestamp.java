package org.galenapost.core.action;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/** Extracts the timestamp of idempotency keys that contain one. */
final class KeyTimestamp {

  private static final int TIME_ORDERED_UUID_VERSION = 7;
  private static final int BITS_BELOW_TIMESTAMP = 16;

  private KeyTimestamp() {}

  /** Returns the timestamp of a version 7 UUID, or empty for any other key. */
  static Optional<Instant> of(String key) {
    try {
      UUID uuid = UUID.fromString(key);
      return uuid.version() == TIME_ORDERED_UUID_VERSION
          ? Optional.of(
              Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> BITS_BELOW_TIMESTAMP))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
