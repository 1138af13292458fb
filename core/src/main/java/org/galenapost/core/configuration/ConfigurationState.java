package org.galenapost.core.configuration;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the highest version seen of every configuration object. A lower version never replaces a
 * higher one, in whatever order the updates of the platform and the peers arrive. Thread-safe.
 */
public final class ConfigurationState implements ConfigurationHolder {

  private final Map<ConfigurationKind, KindState> kinds = new EnumMap<>(ConfigurationKind.class);
  private final List<Consumer<ConfigurationRecord>> listeners = new CopyOnWriteArrayList<>();

  /** Creates an empty state of the kinds that a daemon serving completions follows. */
  public ConfigurationState() {
    this(ConfigurationKind.COMPLETION_KINDS);
  }

  /** Creates an empty state of the given kinds. */
  public ConfigurationState(Set<ConfigurationKind> followedKinds) {
    followedKinds.forEach(kind -> kinds.put(kind, new KindState(kind)));
  }

  @Override
  public Set<ConfigurationKind> kinds() {
    return Set.copyOf(kinds.keySet());
  }

  @Override
  public void onChange(Consumer<ConfigurationRecord> listener) {
    listeners.add(listener);
  }

  @Override
  public boolean merge(ConfigurationRecord record) {
    boolean isNew;
    synchronized (this) {
      isNew = kinds.get(record.kind()).merge(record);
    }
    if (isNew) {
      listeners.forEach(listener -> listener.accept(record));
    }
    return isNew;
  }

  @Override
  public int merge(KindUpdate update) {
    List<ConfigurationRecord> changed;
    synchronized (this) {
      changed = kinds.get(update.kind()).merge(update);
    }
    changed.forEach(record -> listeners.forEach(listener -> listener.accept(record)));
    return changed.size();
  }

  @Override
  public synchronized boolean isComplete() {
    return kinds.values().stream()
        .allMatch(kind -> kind.completeRevision() != KindState.NOTHING_SEEN);
  }

  @Override
  public synchronized long completeRevision(ConfigurationKind kind) {
    return kinds.get(kind).completeRevision();
  }

  @Override
  public synchronized long contentVersion(ConfigurationKind kind) {
    return kinds.get(kind).contentVersion();
  }

  @Override
  public synchronized boolean hasReached(ConfigurationKind kind, String name, long version) {
    return kinds.get(kind).hasReached(name, version);
  }

  @Override
  public synchronized Optional<ConfigurationRecord> find(ConfigurationKind kind, String name) {
    return kinds.get(kind).find(name);
  }

  @Override
  public synchronized List<ConfigurationRecord> objects(ConfigurationKind kind) {
    return kinds.get(kind).objects();
  }

  @Override
  public synchronized KindUpdate changesSince(ConfigurationKind kind, long revision) {
    return kinds.get(kind).changesSince(revision);
  }
}
