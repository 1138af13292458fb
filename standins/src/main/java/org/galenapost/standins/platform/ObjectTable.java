package org.galenapost.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/** The objects, their versions and a bounded change history. Not safe for threads. */
public final class ObjectTable {

  private final int maxHistoryChanges;
  private final Map<String, TreeMap<String, StoredObject>> objectsByKind = new HashMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private long revision;
  private long discardedRevision;

  /** Creates an empty table that keeps the given number of changes in its history. */
  public ObjectTable(int maxHistoryChanges) {
    this.maxHistoryChanges = maxHistoryChanges;
  }

  /** Returns an object, if it exists. */
  public Optional<StoredObject> get(String kind, String name) {
    return Optional.ofNullable(objectsOfKind(kind).get(name));
  }

  /** Returns all objects of a kind. */
  public ObjectList list(String kind) {
    return new ObjectList(revision, List.copyOf(objectsOfKind(kind).values()));
  }

  /** Writes an object if the precondition holds. */
  public WriteResult put(String kind, String name, Precondition precondition, JsonNode value) {
    Optional<StoredObject> current = get(kind, name);
    if (!precondition.allows(current)) {
      return new WriteResult.Conflict(current);
    }
    revision++;
    StoredObject written = new StoredObject(kind, name, revision, value);
    objectsOfKind(kind).put(name, written);
    recordChange(new Change(revision, kind, name));
    return new WriteResult.Written(written);
  }

  /** Deletes an object if the precondition holds. */
  public WriteResult delete(String kind, String name, Precondition precondition) {
    Optional<StoredObject> current = get(kind, name);
    if (!precondition.allows(current)) {
      return new WriteResult.Conflict(current);
    }
    revision++;
    objectsOfKind(kind).remove(name);
    recordChange(new Change(revision, kind, name));
    return new WriteResult.Deleted(revision);
  }

  /** Returns the changes to a kind after a revision. */
  public ObjectChanges changesSince(String kind, long since) {
    if (since < discardedRevision || since > revision) {
      return new ObjectChanges(revision, List.of(), List.of(), true);
    }
    Map<String, Optional<StoredObject>> latestByName = new LinkedHashMap<>();
    for (Change change : history) {
      if (change.revision() > since && change.kind().equals(kind)) {
        latestByName.put(change.name(), get(kind, change.name()));
      }
    }
    return new ObjectChanges(revision, updated(latestByName), deleted(latestByName), false);
  }

  private static List<StoredObject> updated(Map<String, Optional<StoredObject>> latestByName) {
    return latestByName.values().stream().flatMap(Optional::stream).toList();
  }

  private static List<String> deleted(Map<String, Optional<StoredObject>> latestByName) {
    return latestByName.entrySet().stream()
        .filter(entry -> entry.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  private TreeMap<String, StoredObject> objectsOfKind(String kind) {
    return objectsByKind.computeIfAbsent(kind, absent -> new TreeMap<>());
  }

  private void recordChange(Change change) {
    history.addLast(change);
    if (history.size() > maxHistoryChanges) {
      discardedRevision = Objects.requireNonNull(history.pollFirst()).revision();
    }
  }

  private record Change(long revision, String kind, String name) {}
}
