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

/**
 * The objects of one kind at their highest versions seen. Everything up to the complete revision is
 * known, so a record at or below it that is not held is obsolete, and deletions need to be held
 * only above it. Recent deletions are also logged, for peers that lag a little.
 */
final class KindState {

  /** The complete revision before the first full update. */
  static final long NOTHING_SEEN = -1;

  private static final int MAX_LOGGED_DELETIONS = 256;

  private final ConfigurationKind kind;
  private final Map<String, ConfigurationRecord> records = new HashMap<>();
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

  /** Returns whether the state at a version, or a later one, is held. */
  boolean hasReached(String name, long version) {
    ConfigurationRecord held = records.get(name);
    return version <= completeRevision || (held != null && held.version() >= version);
  }

  /** Takes a record if it is newer than what is known, and returns whether it was. */
  boolean merge(ConfigurationRecord record) {
    if (hasReached(record.name(), record.version())) {
      return false;
    }
    records.put(record.name(), record);
    return true;
  }

  /** Takes an update and returns the records that changed. */
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

  /** Returns what a holder of an earlier revision lacks. */
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
            .map(held -> ConfigurationRecord.deleted(kind, held.name(), update.revision()))
            .toList();
    unlisted.forEach(record -> records.put(record.name(), record));
    loggedDeletions.clear();
    deletionLogStart = update.revision();
    return unlisted;
  }

  private void moveCompleteDeletionsToLog() {
    List<ConfigurationRecord> covered =
        records.values().stream()
            .filter(record -> record.json().isEmpty() && record.version() <= completeRevision)
            .sorted(Comparator.comparingLong(ConfigurationRecord::version))
            .toList();
    for (ConfigurationRecord record : covered) {
      records.remove(record.name());
      loggedDeletions.addLast(record);
    }
    while (loggedDeletions.size() > MAX_LOGGED_DELETIONS) {
      deletionLogStart = loggedDeletions.removeFirst().version();
    }
  }
}
