package org.galenapost.core.origin;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * What one daemon keeps in the platform's store for the time after a loss of all daemons.
 *
 * @param isComplete whether the versions are all that a stream in progress may have begun at
 * @param versions the versions that the servers of each service have run lately, by service; empty
 *     if other daemons record them
 * @param streams the ids of streams in progress, by the version that began them and by service;
 *     streams of a service that has run a single version need no record
 */
public record OriginRecord(
    boolean isComplete,
    Map<String, Set<String>> versions,
    Map<String, Map<String, Set<String>>> streams) {

  /** The record of a daemon that has nothing to keep. */
  static final OriginRecord EMPTY = new OriginRecord(false, Map.of(), Map.of());

  /** Stands for a record whose content is not known, and equals no record of a daemon. */
  static final OriginRecord UNKNOWN = new OriginRecord(false, Map.of("", Set.of()), Map.of());

  /** Replaces absent parts by empty ones. */
  public OriginRecord {
    versions = versions == null ? Map.of() : Map.copyOf(versions);
    streams = streams == null ? Map.of() : Map.copyOf(streams);
  }

  /** Returns whether both records tell the same about the versions of services. */
  boolean hasSameVersions(OriginRecord other) {
    return isComplete == other.isComplete && versions.equals(other.versions);
  }

  /** Runs an action for the id and the origin of each stream. */
  void forEachStream(BiConsumer<String, StreamOrigin> action) {
    streams.forEach(
        (service, byVersion) ->
            byVersion.forEach(
                (version, ids) -> {
                  StreamOrigin origin = new StreamOrigin(service, version);
                  ids.forEach(id -> action.accept(id, origin));
                }));
  }

  /** Returns the ids of all streams. */
  Set<String> streamIds() {
    Set<String> ids = new HashSet<>();
    forEachStream((id, origin) -> ids.add(id));
    return ids;
  }
}
