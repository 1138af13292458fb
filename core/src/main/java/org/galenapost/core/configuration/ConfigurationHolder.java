package org.galenapost.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Holds the configuration objects in force at this daemon. */
public interface ConfigurationHolder {

  /** Returns the kinds that are held. */
  default Set<ConfigurationKind> kinds() {
    return ConfigurationKind.COMPLETION_KINDS;
  }

  /** Registers a listener that is told of every change, outside any lock. */
  void onChange(Consumer<ConfigurationRecord> listener);

  /** Takes one record, as pushed by a peer, and returns whether it is now in force. */
  boolean merge(ConfigurationRecord record);

  /** Takes everything up to a revision and returns how many objects changed. */
  int merge(KindUpdate update);

  /** Returns whether every kind was seen in full at least once. */
  boolean isComplete();

  /** Returns the revision up to which all of a kind is known, -1 before the first full update. */
  long completeRevision(ConfigurationKind kind);

  /** Returns whether an object's state at a version, or a later one, is in force. */
  boolean hasReached(ConfigurationKind kind, String name, long version);

  /** Returns an object, empty if it does not exist. */
  Optional<ConfigurationRecord> find(ConfigurationKind kind, String name);

  /** Returns all objects of a kind. */
  List<ConfigurationRecord> objects(ConfigurationKind kind);

  /** Returns what a holder of an earlier revision lacks. */
  KindUpdate changesSince(ConfigurationKind kind, long revision);

  /** Returns the revision of each kind. */
  default List<KindRevision> revisions() {
    return kinds().stream().map(kind -> new KindRevision(kind, completeRevision(kind))).toList();
  }
}
