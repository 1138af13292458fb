package org.galenapost.core.directory;

import java.util.Objects;
import org.galenapost.core.generation.AttemptId;

/**
 * The location of a running generation.
 *
 * @param attempt the current attempt
 * @param serverId the id of the backend server that runs the attempt
 * @param seed the seed of the sampler
 */
public record DirectoryEntry(AttemptId attempt, String serverId, long seed) {

  /** Checks that no component is null. */
  public DirectoryEntry {
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(serverId, "serverId");
  }
}
