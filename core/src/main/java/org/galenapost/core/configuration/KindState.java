package org.galenapost.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.platform.StoreVersion;

/**
 * Holds the objects of one kind at the highest versions seen. The state is complete up to the
 * complete revision: a record at or below it that is not held is obsolete. Deletions are therefore
 * held as records only above that revision. Recent deletions below it are logged, so that a peer
 * that lags slightly receives an incremental update instead of a full one.
 *
 * <p>If the content of the kind states its own version, the content with the highest one is held,
 * whatever the version of its object: a store that was restored from a copy may show an older
 * configuration than the one in force.
 */
final class KindState {

  /** The value of the complete revision before the first full update. */
  static final long NOTHING_SEEN = -1;

  private static final int MAX_LOGGED_DELETIONS = 256;

  private final ConfigurationKind kind;
  private final Map<String, ConfigurationRecord> records = new HashMap<>();
  private final Map<String, Long> contentVersions = new HashMap<>();
  private final Deque<ConfigurationRecord> loggedDeletions = new ArrayDeque<>();
  private long deletionLogStart = NOTHING_SEEN;
  private long completeRevision = NOTHING_SEEN;

  KindState(ConfigurationKind kind) {
    this.kind = kind;
  }

  long completeRevision() {
    return completeRevision;
  }

  Optional<ConfigurationRecord> find(String name) {
    return Optional.ofNullable(records.get(name)).filter(record -> record.json().isPresent());
  }

  List<ConfigurationRecord> objects() {
    return records.values().stream().filter(record -> record.json().isPresent()).toList();
  }

  /** Returns whether an object is known at the given version or a later one. */
  boolean hasReached(String name, long version) {
    ConfigurationRecord held = records.get(name);
    return version <= completeRevision || (held != null && held.version() >= version);
  }

  /** Applies a record if it is newer than the known version, and returns whether it was. */
  boolean merge(ConfigurationRecord record) {
    ConfigurationRecord held = records.get(record.name());
    if (ContentVersions.isVersioned(kind) && held != null) {
      return mergeByContent(held, record);
    }
    if (ContentVersions.isVersioned(kind) && record.json().isPresent()) {
      put(record);
      return true;
    }
    if (hasReached(record.name(), record.version())) {
      return false;
    }
    put(record);
    return true;
  }

  private boolean mergeByContent(ConfigurationRecord held, ConfigurationRecord record) {
    long heldContent = contentVersion(held);
    long newContent = ContentVersions.of(record);
    boolean isSameEra = StoreVersion.era(held.version()) == StoreVersion.era(record.version());
    boolean isDeletion = record.json().isEmpty() && isSameEra;
    if (newContent < heldContent && !isDeletion) {
      put(atVersion(held, record.version()));
      return false;
    }
    boolean isNewer = newContent > heldContent || record.version() > held.version();
    if (isNewer) {
      put(atVersion(record, held.version()));
    }
    return isNewer;
  }

  /** Returns a record at its own version or the given one, whichever is higher. */
  private static ConfigurationRecord atVersion(ConfigurationRecord record, long version) {
    return new ConfigurationRecord(
        record.kind(), record.name(), Math.max(record.version(), version), record.json());
  }

  private void put(ConfigurationRecord record) {
    records.put(record.name(), record);
    contentVersions.put(record.name(), ContentVersions.of(record));
  }

  private long contentVersion(ConfigurationRecord held) {
    return contentVersions.getOrDefault(held.name(), ContentVersions.NONE);
  }

  /** Returns the highest content version held. */
  long contentVersion() {
    return contentVersions.values().stream()
        .mapToLong(Long::longValue)
        .max()
        .orElse(ContentVersions.NONE);
  }

  /** Applies an update and returns the records that changed. */
  List<ConfigurationRecord> merge(KindUpdate update) {
    boolean isStale = update.revision() <= completeRevision;
    boolean hasGap = !update.isFull() && update.sinceRevision() > completeRevision;
    if (isStale || hasGap) {
      return update.records().stream().filter(this::merge).toList();
    }
    List<ConfigurationRecord> changed = new ArrayList<>();
    update.records().stream().filter(this::merge).forEach(changed::add);
    if (update.isFull()) {
      changed.addAll(deleteUnlisted(update));
    }
    completeRevision = update.revision();
    moveCompleteDeletionsToLog();
    return changed;
  }

  /**
   * Returns the changes after a revision, or a full update if the log does not reach back to it.
   */
  KindUpdate changesSince(long revision) {
    if (revision < deletionLogStart || revision == NOTHING_SEEN) {
      return new KindUpdate(
          kind, NOTHING_SEEN, completeRevision, true, List.copyOf(records.values()));
    }
    List<ConfigurationRecord> newer = new ArrayList<>();
    records.values().stream().filter(record -> record.version() > revision).forEach(newer::add);
    loggedDeletions.stream()
        .filter(record -> record.version() > revision)
        .filter(record -> !records.containsKey(record.name()))
        .forEach(newer::add);
    return new KindUpdate(kind, revision, completeRevision, false, newer);
  }

  private List<ConfigurationRecord> deleteUnlisted(KindUpdate update) {
    Set<String> listed = new HashSet<>();
    update.records().forEach(record -> listed.add(record.name()));
    List<ConfigurationRecord> unlisted =
        objects().stream()
            .filter(held -> held.version() <= update.revision())
            .filter(held -> !listed.contains(held.name()))
            .filter(held -> !isLostByRestore(held, update))
            .map(held -> ConfigurationRecord.deleted(kind, held.name(), update.revision()))
            .toList();
    unlisted.forEach(this::put);
    loggedDeletions.clear();
    deletionLogStart = update.revision();
    return unlisted;
  }

  /** Returns whether the store lacks a configuration only because it was restored from a copy. */
  private boolean isLostByRestore(ConfigurationRecord held, KindUpdate update) {
    return ContentVersions.isVersioned(kind)
        && StoreVersion.era(held.version()) < StoreVersion.era(update.revision());
  }

  private void moveCompleteDeletionsToLog() {
    List<ConfigurationRecord> covered =
        records.values().stream()
            .filter(record -> record.json().isEmpty() && record.version() <= completeRevision)
            .sorted(Comparator.comparingLong(ConfigurationRecord::version))
            .toList();
    for (ConfigurationRecord record : covered) {
      records.remove(record.name());
      contentVersions.remove(record.name());
      loggedDeletions.addLast(record);
    }
    while (loggedDeletions.size() > MAX_LOGGED_DELETIONS) {
      deletionLogStart = loggedDeletions.removeFirst().version();
    }
  }
}
