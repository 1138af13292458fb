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
 * Knows the servers that may take calls.
 *
 * <p>A server whose entry is gone without notice may be lost, may be leaving, or may have been kept
 * from renewing its entry. It stays usable as a last resort for a short time. An entry that went
 * during an outage of the platform's store, or right after it, may return; until then its server
 * stays usable longer. An instance whose address answers for another one is gone for good. Used by
 * one thread.
 */
public final class InstanceDirectory {

  private static final Duration MAX_RETURN_OF_LAPSED_ENTRIES = Duration.ofMillis(2_200);

  private final MonotonicClock clock;
  private final PlatformReachability reach;
  private final Duration lapsedUse;
  private final Consumer<InstanceChange> onChange;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Set<InstanceKey> replaced = new HashSet<>();
  private long revision;

  /**
   * Creates an empty directory.
   *
   * @param clock elapsed time
   * @param reach whether the platform's store is away
   * @param lapsedUse how long an instance whose entry is gone may still take calls
   * @param onChange told of each change of what is believed of an instance
   */
  public InstanceDirectory(
      MonotonicClock clock,
      PlatformReachability reach,
      Duration lapsedUse,
      Consumer<InstanceChange> onChange) {
    this.clock = clock;
    this.reach = reach;
    this.lapsedUse = lapsedUse;
    this.onChange = onChange;
  }

  /** Takes a change of the configuration objects over; an entry that cannot be used is left out. */
  public void applyChange(ConfigurationRecord record) {
    if (record.kind() != ConfigurationKind.INSTANCE) {
      return;
    }
    Optional<ServerInstance> instance =
        record.json().flatMap(json -> Json.read(json, ServerInstance.class).toJavaOptional());
    if (instance.isPresent()) {
      put(instance.get());
    } else {
      lapse(record.name());
    }
  }

  private void put(ServerInstance instance) {
    Entry before = entries.put(instance.id(), new Entry(instance));
    revision++;
    if (before == null || !before.instance.key().equals(instance.key())) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.APPEARED));
    } else if (instance.isLeaving() && !before.instance.isLeaving()) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.LEAVING));
    }
  }

  private void lapse(String id) {
    Entry entry = entries.get(id);
    if (entry != null && !entry.isLapsed) {
      entry.isLapsed = true;
      entry.mayReturn = reach.isUnreachableOrRecoveredWithin(MAX_RETURN_OF_LAPSED_ENTRIES);
      entry.lapsedNanos = clock.nanos();
      onChange.accept(new InstanceChange(entry.instance, InstanceChange.Kind.LAPSED));
    }
  }

  /**
   * Records that another instance answers at the address of this one.
   *
   * @return whether this is news
   */
  public boolean markReplaced(ServerInstance instance) {
    boolean isNews = replaced.add(instance.key());
    if (isNews) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.REPLACED));
    }
    return isNews;
  }

  /** Returns the instances of a service that take new calls. */
  public List<ServerInstance> ready(String service) {
    return select(service, false);
  }

  /** Returns the instances of a service whose entry is gone but which may still serve. */
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
    return clock.since(entry.lapsedNanos).compareTo(lapsedUse) < 0
        || (entry.mayReturn && reach.isUnreachableOrRecoveredWithin(MAX_RETURN_OF_LAPSED_ENTRIES));
  }

  /** Returns an instance by its id, also one that takes no new calls. */
  public Optional<ServerInstance> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.instance);
  }

  /** Forgets instances whose entry has been gone for so long that they serve no more. */
  public void removeExpired() {
    if (entries.values().removeIf(entry -> entry.isLapsed && !isLapsedUsable(entry))) {
      revision++;
    }
    replaced.retainAll(keys());
  }

  /** Returns a number that rises whenever an instance comes, changes or is forgotten. */
  public long revision() {
    return revision;
  }

  /** Returns every known instance. */
  public List<ServerInstance> instances() {
    return entries.values().stream().map(entry -> entry.instance).toList();
  }

  /** Returns every known start of a server. */
  public Set<InstanceKey> keys() {
    Set<InstanceKey> keys = new HashSet<>();
    entries.values().forEach(entry -> keys.add(entry.instance.key()));
    return keys;
  }

  /** Returns the number of instances known, for the metrics. */
  public int size() {
    return entries.size();
  }

  private static final class Entry {

    private final ServerInstance instance;
    private boolean isLapsed;
    private boolean mayReturn;
    private long lapsedNanos;

    Entry(ServerInstance instance) {
      this.instance = instance;
    }
  }
}
