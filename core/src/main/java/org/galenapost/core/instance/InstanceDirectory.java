package org.galenapost.core.instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.time.MonotonicClock;

/**
 * The directory of server instances that may receive calls.
 *
 * <p>An instance has lapsed if its entry was removed without notice. It may be lost or leaving, or
 * it could not renew its entry. It remains usable as a last resort for a short time. An entry that
 * was removed during an outage of the platform's store, or shortly after it, may be announced
 * again; until then its instance remains usable for longer. An instance is never used again if
 * another one answers at its address. Not safe for use by several threads.
 */
public final class InstanceDirectory {

  private static final Duration LAPSED_ENTRY_RETURN_TIMEOUT = Duration.ofMillis(2_200);

  private final MonotonicClock clock;
  private final PlatformReachability reachability;
  private final Duration lapsedUse;
  private final Consumer<InstanceChange> onChange;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Set<InstanceKey> replaced = new HashSet<>();
  private long revision;

  /**
   * Creates an empty directory.
   *
   * @param clock elapsed time
   * @param reachability whether the platform's store is reachable
   * @param lapsedUse how long a lapsed instance may still receive calls
   * @param onChange notified of each change of the state of an instance
   */
  public InstanceDirectory(
      MonotonicClock clock,
      PlatformReachability reachability,
      Duration lapsedUse,
      Consumer<InstanceChange> onChange) {
    this.clock = clock;
    this.reachability = reachability;
    this.lapsedUse = lapsedUse;
    this.onChange = onChange;
  }

  /** Applies a change of a configuration object. An entry that is not valid counts as removed. */
  public void applyChange(ConfigurationRecord record) {
    if (record.kind() != ConfigurationKind.INSTANCE) {
      return;
    }
    Optional<ServerInstance> instance =
        record.json().flatMap(json -> Json.read(json, ServerInstance.class).toJavaOptional());
    if (instance.isPresent()) {
      putInstance(instance.get());
    } else {
      markLapsed(record.name());
    }
  }

  private void putInstance(ServerInstance instance) {
    Entry previous = entries.put(instance.id(), new Entry(instance));
    revision++;
    if (previous == null || !previous.instance.key().equals(instance.key())) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.APPEARED));
    } else if (instance.isLeaving() && !previous.instance.isLeaving()) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.LEAVING));
    }
  }

  private void markLapsed(String id) {
    Entry entry = entries.get(id);
    if (entry != null && !entry.isLapsed) {
      entry.isLapsed = true;
      entry.mayReturn = reachability.isUnreachableOrRecoveredWithin(LAPSED_ENTRY_RETURN_TIMEOUT);
      entry.lapsedAtNanos = clock.nanos();
      onChange.accept(new InstanceChange(entry.instance, InstanceChange.Kind.LAPSED));
    }
  }

  /**
   * Records that another instance answers at the address of this one.
   *
   * @return whether the instance was not marked before
   */
  public boolean markReplaced(ServerInstance instance) {
    boolean isNewlyReplaced = replaced.add(instance.key());
    if (isNewlyReplaced) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.REPLACED));
    }
    return isNewlyReplaced;
  }

  /** Returns the instances of a service that accept new calls. */
  public List<ServerInstance> ready(String service) {
    return select(service, false);
  }

  /** Returns the lapsed instances of a service that may still receive calls. */
  public List<ServerInstance> lapsed(String service) {
    return select(service, true);
  }

  private List<ServerInstance> select(String service, boolean isLapsed) {
    List<ServerInstance> selected = new ArrayList<>();
    for (Entry entry : entries.values()) {
      ServerInstance instance = entry.instance;
      boolean isUsable =
          instance.service().equals(service)
              && !instance.isLeaving()
              && entry.isLapsed == isLapsed
              && !replaced.contains(instance.key())
              && (!isLapsed || isLapsedUsable(entry));
      if (isUsable) {
        selected.add(instance);
      }
    }
    return selected;
  }

  private boolean isLapsedUsable(Entry entry) {
    return clock.since(entry.lapsedAtNanos).compareTo(lapsedUse) < 0
        || (entry.mayReturn
            && reachability.isUnreachableOrRecoveredWithin(LAPSED_ENTRY_RETURN_TIMEOUT));
  }

  /** Returns the instance with the given id, including one that accepts no new calls. */
  public Optional<ServerInstance> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.instance);
  }

  /** Removes lapsed instances that may no longer receive calls. */
  public void removeExpired() {
    if (entries.values().removeIf(entry -> entry.isLapsed && !isLapsedUsable(entry))) {
      revision++;
    }
    replaced.retainAll(keys());
  }

  /** Returns a number that increases whenever an instance is added, changed or removed. */
  public long revision() {
    return revision;
  }

  /** Returns every known instance. */
  public List<ServerInstance> instances() {
    return entries.values().stream().map(entry -> entry.instance).toList();
  }

  /** Returns the keys of all known instances. */
  public Set<InstanceKey> keys() {
    Set<InstanceKey> keys = new HashSet<>();
    entries.values().forEach(entry -> keys.add(entry.instance.key()));
    return keys;
  }

  /** Returns the number of known instances. */
  public int size() {
    return entries.size();
  }

  private static final class Entry {

    private final ServerInstance instance;
    private boolean isLapsed;
    private boolean mayReturn;
    private long lapsedAtNanos;

    Entry(ServerInstance instance) {
      this.instance = instance;
    }
  }
}
