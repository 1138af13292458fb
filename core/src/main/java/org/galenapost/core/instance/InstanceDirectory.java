package org.galenapost.core.instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.platform.StoreVersion;
import org.galenapost.core.time.MonotonicClock;

/**
 * The directory of server instances that may receive calls.
 *
 * <p>An instance has lapsed if its entry was removed without notice. It may be lost or leaving, or
 * it could not renew its entry. It remains usable as a last resort for a short time. An entry that
 * was removed during an outage of the platform's store, or shortly after it, may be announced
 * again; until then its instance remains usable for longer. An instance is never used again if
 * another one answers at its address, or once it has stated that it leaves.
 *
 * <p>A store that was restored from a copy shows entries of servers that have left since and lacks
 * those of servers that came since. Lacking entries may return as after an outage. An entry that
 * was known to be removed and is not newer than the one seen before is doubtful: its server
 * receives no calls until the store has had the time to remove the entry again.
 *
 * <p>Not safe for use by several threads.
 */
public final class InstanceDirectory {

  private static final Duration LAPSED_ENTRY_RETURN_TIMEOUT = Duration.ofMillis(2_200);

  /**
   * More than three check-in intervals, after which the store removes the entry of a silent server.
   */
  private static final Duration DOUBTFUL_ENTRY_TIMEOUT = Duration.ofSeconds(8);

  private static final int MAX_REMOVED_ENTRIES = 8_192;

  private static final long UNKNOWN_ERA = -1;

  private final MonotonicClock clock;
  private final PlatformReachability reachability;
  private final Duration lapsedUse;
  private final Consumer<InstanceChange> onChange;
  private final Map<String, Entry> entries = new HashMap<>();
  private final RetiredInstances retired = new RetiredInstances();
  private final Map<String, Entry> removedEntries =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAX_REMOVED_ENTRIES;
        }
      };
  private final SeenVersions seenVersions;
  private long revision;
  private long era = UNKNOWN_ERA;
  private boolean wasRestored;
  private long restoredNanos;

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
    this.seenVersions = new SeenVersions(clock);
  }

  /** Applies a change of a configuration object. An entry that is not valid counts as removed. */
  public void applyChange(ConfigurationRecord record) {
    if (record.kind() != ConfigurationKind.INSTANCE) {
      return;
    }
    noteEra(StoreVersion.era(record.version()));
    Optional<ServerInstance> instance =
        record.json().flatMap(json -> Json.read(json, ServerInstance.class).toJavaOptional());
    if (instance.isPresent()) {
      putInstance(instance.get());
    } else {
      markLapsed(record.name());
    }
  }

  private void noteEra(long recordEra) {
    if (recordEra <= era) {
      return;
    }
    if (era != UNKNOWN_ERA) {
      wasRestored = true;
      restoredNanos = clock.nanos();
    }
    era = recordEra;
  }

  private void putInstance(ServerInstance instance) {
    Entry previous = entries.get(instance.id());
    Entry known = previous != null ? previous : removedEntries.get(instance.id());
    boolean isOutdated = known != null && known.era < era && isNotNewer(instance, known.instance);
    if (isOutdated && !known.isLapsed) {
      return;
    }
    Entry entry = new Entry(instance, era, appearedNanos(instance.key(), known));
    if (isOutdated && !known.mayReturn) {
      entry.isDoubtful = true;
      entry.doubtfulSinceNanos = clock.nanos();
    }
    entries.put(instance.id(), entry);
    seenVersions.add(instance);
    if (previous != null) {
      seenVersions.add(previous.instance);
    }
    revision++;
    if (previous == null || !previous.instance.key().equals(instance.key())) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.APPEARED));
    } else if (instance.isLeaving() && !previous.instance.isLeaving()) {
      onChange.accept(new InstanceChange(instance, InstanceChange.Kind.LEAVING));
    }
  }

  private long appearedNanos(InstanceKey key, Entry known) {
    boolean isSameInstance = known != null && known.instance.key().equals(key);
    return isSameInstance ? known.appearedNanos : clock.nanos();
  }

  private static boolean isNotNewer(ServerInstance instance, ServerInstance known) {
    if (instance.startedAtEpochMs() != known.startedAtEpochMs()) {
      return instance.startedAtEpochMs() < known.startedAtEpochMs();
    }
    return instance.sequence() > 0 && instance.sequence() <= known.sequence();
  }

  private void markLapsed(String id) {
    Entry entry = entries.get(id);
    if (entry != null && !entry.isLapsed) {
      entry.isLapsed = true;
      entry.mayReturn = mayEntriesReturn();
      entry.lapsedAtNanos = clock.nanos();
      onChange.accept(new InstanceChange(entry.instance, InstanceChange.Kind.LAPSED));
    }
  }

  private boolean mayEntriesReturn() {
    return reachability.isUnreachableOrRecoveredWithin(LAPSED_ENTRY_RETURN_TIMEOUT)
        || (wasRestored && clock.since(restoredNanos).compareTo(LAPSED_ENTRY_RETURN_TIMEOUT) < 0);
  }

  /**
   * Records that another instance answers at the address of this one.
   *
   * @return whether the instance was not retired before
   */
  public boolean markReplaced(InstanceKey instance) {
    return retire(instance, InstanceChange.Kind.REPLACED);
  }

  /**
   * Records that an instance has stated that it leaves.
   *
   * @return whether the instance was not retired before
   */
  public boolean markLeaving(InstanceKey instance) {
    return retire(instance, InstanceChange.Kind.LEAVING);
  }

  private boolean retire(InstanceKey key, InstanceChange.Kind kind) {
    boolean isNewlyRetired = retired.add(key);
    if (isNewlyRetired) {
      find(key.id())
          .filter(instance -> instance.key().equals(key))
          .ifPresent(instance -> onChange.accept(new InstanceChange(instance, kind)));
    }
    return isNewlyRetired;
  }

  /** Returns the known instances that must not receive calls again. */
  public List<InstanceKey> retired() {
    return retired.among(keys());
  }

  /** Returns the instances of a service that accept new calls. */
  public List<ServerInstance> ready(String service) {
    return select(service, false);
  }

  /** Returns the lapsed instances of a service that may still receive calls. */
  public List<ServerInstance> lapsed(String service) {
    return select(service, true);
  }

  /** Returns whether a server of a service runs the version and may receive calls. */
  public boolean hasServer(String service, String softwareVersion) {
    return Stream.concat(ready(service).stream(), lapsed(service).stream())
        .anyMatch(instance -> instance.runsVersion(softwareVersion));
  }

  /**
   * Returns the software versions that the known servers of a service run, or that others ran until
   * a given time ago.
   *
   * @param service the service
   * @param time how long ago a server may have gone
   */
  public Set<String> softwareVersions(String service, Duration time) {
    Set<String> versions = seenVersions.within(service, time);
    entries.values().stream()
        .map(entry -> entry.instance)
        .filter(instance -> instance.service().equals(service))
        .map(ServerInstance::softwareVersion)
        .forEach(versions::add);
    return versions;
  }

  /**
   * Returns the software versions of all services, as {@link #softwareVersions(String, Duration)}.
   *
   * @param time how long ago a server may have gone
   */
  public Map<String, Set<String>> softwareVersions(Duration time) {
    Set<String> services = new HashSet<>(seenVersions.services());
    entries.values().forEach(entry -> services.add(entry.instance.service()));
    Map<String, Set<String>> versions = new HashMap<>();
    for (String service : services) {
      Set<String> ofService = softwareVersions(service, time);
      if (!ofService.isEmpty()) {
        versions.put(service, ofService);
      }
    }
    return versions;
  }

  /** Records software versions that servers of a service ran until now, as another daemon says. */
  public void recordVersions(String service, Set<String> versions) {
    versions.forEach(version -> seenVersions.add(service, version));
  }

  /** Returns the era of the platform's store, as far as the entries of servers tell it. */
  public long era() {
    return era;
  }

  private List<ServerInstance> select(String service, boolean isLapsed) {
    List<ServerInstance> selected = new ArrayList<>();
    for (Entry entry : entries.values()) {
      ServerInstance instance = entry.instance;
      boolean isUsable =
          instance.service().equals(service)
              && !instance.isLeaving()
              && entry.isLapsed == isLapsed
              && !retired.contains(instance.key())
              && !isDoubtful(entry)
              && (!isLapsed || isLapsedUsable(entry));
      if (isUsable) {
        selected.add(instance);
      }
    }
    return selected;
  }

  private boolean isLapsedUsable(Entry entry) {
    return clock.since(entry.lapsedAtNanos).compareTo(lapsedUse) < 0
        || (entry.mayReturn && mayEntriesReturn());
  }

  private boolean isDoubtful(Entry entry) {
    return entry.isDoubtful
        && clock.since(entry.doubtfulSinceNanos).compareTo(DOUBTFUL_ENTRY_TIMEOUT) < 0;
  }

  /** Returns the instance with the given id, including one that accepts no new calls. */
  public Optional<ServerInstance> find(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.instance);
  }

  /** Returns for how long an instance has been known; 0 for one that is not known. */
  public Duration sinceAppeared(InstanceKey key) {
    Entry entry = entries.get(key.id());
    return entry != null && entry.instance.key().equals(key)
        ? clock.since(entry.appearedNanos)
        : Duration.ZERO;
  }

  /** Removes lapsed instances that may no longer receive calls. */
  public void removeExpired() {
    List<Entry> expired =
        entries.values().stream()
            .filter(entry -> entry.isLapsed && !isLapsedUsable(entry))
            .toList();
    for (Entry entry : expired) {
      entries.remove(entry.instance.id());
      seenVersions.add(entry.instance);
      removedEntries.put(entry.instance.id(), entry);
      revision++;
    }
    seenVersions.removeExpired();
    Set<InstanceKey> known = keys();
    // Without a start time, a later start of the server would have the same key.
    retired.removeIf(key -> key.startedAtEpochMs() == 0 && !known.contains(key));
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
    private final long era;
    private final long appearedNanos;
    private boolean isDoubtful;
    private long doubtfulSinceNanos;
    private boolean isLapsed;
    private boolean mayReturn;
    private long lapsedAtNanos;

    Entry(ServerInstance instance, long era, long appearedNanos) {
      this.instance = instance;
      this.era = era;
      this.appearedNanos = appearedNanos;
    }
  }
}
