package org.galenapost.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Holds this daemon's replica of the configuration objects. */
public interface ConfigurationHolder {

  /** Returns the kinds that this replica holds. */
  default Set<ConfigurationKind> kinds() {
    return ConfigurationKind.COMPLETION_KINDS;
  }

  /** Registers a listener that is notified of every change, outside any lock. */
  void onChange(Consumer<ConfigurationRecord> listener);

  /** Applies one record pushed by a peer and returns whether it was newer than the state. */
  boolean merge(ConfigurationRecord record);

  /** Applies an update up to a revision and returns the number of changed objects. */
  int merge(KindUpdate update);

  /** Returns whether every kind received at least one full update. */
  boolean isComplete();

  /** Returns the revision up to which a kind is complete, -1 before the first full update. */
  long completeRevision(ConfigurationKind kind);

  /** Returns whether an object is in force at the given version or a later one. */
  boolean hasReached(ConfigurationKind kind, String name, long version);

  /** Returns an object, or empty if it does not exist. */
  Optional<ConfigurationRecord> find(ConfigurationKind kind, String name);

  /** Returns all objects of a kind. */
  List<ConfigurationRecord> objects(ConfigurationKind kind);

  /** Returns the changes after a revision, or a full update if those are no longer known. */
  KindUpdate changesSince(ConfigurationKind kind, long revision);

  /** Returns the highest version that the content of an object of the kind states, 0 if none. */
  long contentVersion(ConfigurationKind kind);

  /** Returns the revisions of one kind. */
  default KindRevision revision(ConfigurationKind kind) {
    return new KindRevision(kind, completeRevision(kind), contentVersion(kind));
  }

  /** Returns the revisions of each kind. */
  default List<KindRevision> revisions() {
    return kinds().stream().map(this::revision).toList();
  }
}
