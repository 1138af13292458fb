package org.galenapost.core.instance;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Remembers the instances that must not receive calls again, because they said that they leave or
 * because another instance answers at their address. Retirement ends only with the next start of
 * the server, which has another key. The oldest entries are dropped beyond a limit.
 */
final class RetiredInstances {

  /** Several times the servers of the largest fleet, so that restarts of all of them fit. */
  private static final int MAX_REMEMBERED = 8_192;

  private final Set<InstanceKey> keys = new LinkedHashSet<>();

  /** Adds an instance and returns whether it was not retired before. */
  boolean add(InstanceKey key) {
    boolean isNew = keys.add(key);
    if (keys.size() > MAX_REMEMBERED) {
      keys.remove(keys.iterator().next());
    }
    return isNew;
  }

  boolean contains(InstanceKey key) {
    return keys.contains(key);
  }

  void removeIf(Predicate<InstanceKey> condition) {
    keys.removeIf(condition);
  }

  /** Returns the retired instances among the given ones. */
  List<InstanceKey> among(Set<InstanceKey> instances) {
    return keys.stream().filter(instances::contains).toList();
  }
}
