package org.galenapost.scenarios.naive;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.KindUpdate;

/** Takes configuration from the platform's first listing only and shares nothing with peers. */
final class StartupConfigurationHolder implements ConfigurationHolder {

  private final ConfigurationHolder shipped;

  StartupConfigurationHolder(ConfigurationHolder shipped) {
    this.shipped = shipped;
  }

  @Override
  public void onChange(Consumer<ConfigurationRecord> listener) {
    shipped.onChange(listener);
  }

  @Override
  public boolean merge(ConfigurationRecord record) {
    return false;
  }

  @Override
  public int merge(KindUpdate update) {
    return update.isFull() ? shipped.merge(update) : 0;
  }

  @Override
  public boolean isComplete() {
    return false;
  }

  @Override
  public long completeRevision(ConfigurationKind kind) {
    return shipped.completeRevision(kind);
  }

  @Override
  public boolean hasReached(ConfigurationKind kind, String name, long version) {
    return shipped.hasReached(kind, name, version);
  }

  @Override
  public Optional<ConfigurationRecord> find(ConfigurationKind kind, String name) {
    return shipped.find(kind, name);
  }

  @Override
  public List<ConfigurationRecord> objects(ConfigurationKind kind) {
    return shipped.objects(kind);
  }

  @Override
  public KindUpdate changesSince(ConfigurationKind kind, long revision) {
    return shipped.changesSince(kind, revision);
  }
}
