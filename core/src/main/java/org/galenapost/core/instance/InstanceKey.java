package org.galenapost.core.instance;

import java.util.Objects;

/**
 * Identifies one instance, that is, one start of a server.
 *
 * @param id the server's id
 * @param startedAtEpochMs the start time, in milliseconds since 1970
 */
public record InstanceKey(String id, long startedAtEpochMs) {

  /** Checks that the id is present. */
  public InstanceKey {
    Objects.requireNonNull(id, "id");
  }

  /** Returns the key as text, for logs and messages. */
  public String text() {
    return id + "@" + startedAtEpochMs;
  }
}
