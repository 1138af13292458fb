package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;

/**
 * A customer's workspace, with its credentials and its share of the fleet.
 *
 * @param name the unique name
 * @param keySha256Hex the SHA-256 digests of the bearer keys in force, in lower-case hexadecimal
 * @param weight the share of the fleet relative to other workspaces
 * @param maxInFlight the maximum number of requests in flight at one daemon
 */
public record Workspace(String name, List<String> keySha256Hex, int weight, int maxInFlight) {

  /** Checks the arguments and copies the digests. */
  public Workspace {
    Objects.requireNonNull(name, "name");
    keySha256Hex = List.copyOf(keySha256Hex);
    requirePositive("weight", weight);
    requirePositive("maxInFlight", maxInFlight);
  }

  private static void requirePositive(String argument, int value) {
    if (value < 1) {
      throw new IllegalArgumentException(argument + " must be at least 1, but was " + value);
    }
  }
}
