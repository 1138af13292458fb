package org.galenapost.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the neighbours of a daemon: its successor on each of several hash rings. Each ring orders
 * all daemons by a different hash. Every daemon therefore has as many observers as neighbours, and
 * the number of hops until an update reaches all daemons grows with the logarithm of their number.
 */
final class NeighbourRings {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
  private static final int MIX_SHIFT = 33;

  private NeighbourRings() {}

  /**
   * Returns the neighbours of a daemon.
   *
   * @param ownId the id of the daemon
   * @param others the ids of all other candidates
   * @param rings the number of rings
   */
  static List<String> neighbours(String ownId, Collection<String> others, int rings) {
    Set<String> selected = new LinkedHashSet<>();
    for (int ring = 0; ring < rings && selected.size() < others.size(); ring++) {
      selected.add(successor(ownId, others, selected, ring));
    }
    return new ArrayList<>(selected);
  }

  private static String successor(
      String ownId, Collection<String> others, Set<String> selected, int ring) {
    long own = position(ownId, ring);
    String nearest = "";
    long nearestDistance = 0;
    for (String other : others) {
      long distance = position(other, ring) - own;
      boolean isNearer = nearest.isEmpty() || Long.compareUnsigned(distance, nearestDistance) < 0;
      if (isNearer && !selected.contains(other)) {
        nearest = other;
        nearestDistance = distance;
      }
    }
    return nearest;
  }

  static long position(String id, int ring) {
    long hash = (FNV_OFFSET ^ ring) * FNV_PRIME;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_MULTIPLIER;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_MULTIPLIER;
    return hash ^ (hash >>> MIX_SHIFT);
  }
}
