package org.galenapost.core.directory;

import java.util.Objects;

/**
 * Identifies a request that a caller may repeat. The generation id is derived from the caller's key
 * and the request body.
 *
 * @param workspace the name of the workspace
 * @param generationId the id of the generation
 */
public record DirectoryKey(String workspace, String generationId) {

  /** Checks that no component is null. */
  public DirectoryKey {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(generationId, "generationId");
  }
}
