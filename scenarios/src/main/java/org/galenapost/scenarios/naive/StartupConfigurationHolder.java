package org.galenapost.scenarios.naive;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.KindUpdate;

/**
 * Takes configuration only from full updates, such as the platform's first listing, and ignores
 * single records and incremental updates. It never counts as complete, so it reports no revisions
 * to peers.
 */
final class StartupConfigurationHolder implements ConfigurationHolder {

  private final ConfigurationHolder delegate;

  StartupConfigurationHolder(ConfigurationHolder delegate) {
    this.delegate = delegate;
  }

  @Override
  public void onChange(Consumer<ConfigurationRecord> listener) {
    delegate.onChange(listener);
  }

  @Override
  public boolean merge(ConfigurationRecord record) {
    return false;
  }

  @Override
  public int merge(KindUpdate update) {
    return update.isFull() ? delegate.merge(update) : 0;
  }

  @Override
  public boolean isComplete() {
    return false;
  }

  @Override
  public long completeRevision(ConfigurationKind kind) {
    return delegate.completeRevision(kind);
  }

  @Override
  public long contentVersion(ConfigurationKind kind) {
    return delegate.contentVersion(kind);
  }

  @Override
  public boolean hasReached(ConfigurationKind kind, String name, long version) {
    return delegate.hasReached(kind, name, version);
  }

  @Override
  public Optional<ConfigurationRecord> find(ConfigurationKind kind, String name) {
    return delegate.find(kind, name);
  }

  @Override
  public List<ConfigurationRecord> objects(ConfigurationKind kind) {
    return delegate.objects(kind);
  }

  @Override
  public KindUpdate changesSince(ConfigurationKind kind, long revision) {
    return delegate.changesSince(kind, revision);
  }
}
