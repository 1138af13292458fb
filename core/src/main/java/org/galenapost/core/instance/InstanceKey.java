package org.galenapost.core.instance;

import java.util.Objects;

/**
 * Tells one start of a server from every other one.
 *
 * @param id the server's id
 * @param startedAtEpochMs when it started, in milliseconds
 */
public record InstanceKey(String id, long startedAtEpochMs) {

  /** Checks that the id is present. */
  public InstanceKey {
    Objects.requireNonNull(id, "id");
  }

  /** Returns the key as one text, for logs and messages. */
  public String text() {
    return id + "@" + startedAtEpochMs;
  }
}
