package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.membership.LeavingServers;
import org.galenapost.core.profile.Profile;

/** A configuration in which the backend servers that the host list calls leaving are marked. */
final class ConfigurationWithLeavingServers implements ConfigurationView {

  private final ConfigurationView configuration;
  private final LeavingServers leaving;

  ConfigurationWithLeavingServers(ConfigurationView configuration, LeavingServers leaving) {
    this.configuration = configuration;
    this.leaving = leaving;
  }

  @Override
  public Optional<Profile> profile(String name) {
    return configuration.profile(name);
  }

  @Override
  public Optional<Workspace> workspaceByKey(String key) {
    return configuration.workspaceByKey(key);
  }

  @Override
  public Optional<Workspace> workspace(String name) {
    return configuration.workspace(name);
  }

  @Override
  public Collection<BackendServer> servers() {
    return leaving.markLeaving(configuration.servers());
  }

  @Override
  public long revision() {
    return configuration.revision();
  }

  @Override
  public boolean isReady() {
    return configuration.isReady();
  }
}
