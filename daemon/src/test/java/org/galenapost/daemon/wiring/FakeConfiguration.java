package org.galenapost.daemon.wiring;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.configuration.KeyDigest;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.profile.RerunPolicy;
import org.galenapost.core.profile.Urgency;

/** A configuration with one workspace and the profiles {@code default} and {@code once}. */
final class FakeConfiguration implements ConfigurationView {

  static final String WORKSPACE_KEY = "key-of-the-workspace";

  final List<BackendServer> servers = new CopyOnWriteArrayList<>();
  private final Workspace workspace =
      new Workspace("nordlys", List.of(KeyDigest.sha256Hex(WORKSPACE_KEY)), 1, 50);

  void addService(String id, int port) {
    servers.add(
        new BackendServer(
            id,
            "127.0.0.1",
            port,
            ServerKind.SERVICE,
            "dc1",
            Set.of(),
            Optional.of("quotes"),
            ServerState.LIVE,
            false));
  }

  @Override
  public Optional<Profile> profile(String name) {
    return switch (name) {
      case "default" -> Optional.of(newProfile(name, true));
      case "once" -> Optional.of(newProfile(name, false));
      default -> Optional.empty();
    };
  }

  private static Profile newProfile(String name, boolean isIdempotent) {
    return new Profile(
        name,
        Urgency.NORMAL,
        isIdempotent,
        Duration.ofSeconds(20),
        RecoveryPolicy.HEDGE,
        RerunPolicy.NEW_GENERATION);
  }

  @Override
  public Optional<Workspace> workspaceByKey(String key) {
    return key.equals(WORKSPACE_KEY) ? Optional.of(workspace) : Optional.empty();
  }

  @Override
  public Optional<Workspace> workspace(String name) {
    return name.equals(workspace.name()) ? Optional.of(workspace) : Optional.empty();
  }

  @Override
  public Collection<BackendServer> servers() {
    return servers;
  }

  @Override
  public long revision() {
    return 3;
  }

  @Override
  public boolean isReady() {
    return true;
  }
}
