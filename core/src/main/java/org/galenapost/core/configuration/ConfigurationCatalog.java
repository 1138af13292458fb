package org.galenapost.core.configuration;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.profile.Profile;

/**
 * Holds the typed form of every configuration object. An invalid object is reported, and its last
 * valid form stays in force. Invalid objects occur when a write bypasses the daemons' validation.
 */
public final class ConfigurationCatalog {

  private final ConfigurationHolder state;
  private final BiConsumer<ConfigurationRecord, List<ConfigurationFault>> onFaulty;
  private final Map<String, Profile> profiles = new ConcurrentHashMap<>();
  private final Map<String, Workspace> workspaces = new ConcurrentHashMap<>();
  private final Map<String, Workspace> workspacesByDigest = new ConcurrentHashMap<>();
  private final Map<String, BackendServer> servers = new ConcurrentHashMap<>();
  private volatile List<BackendServer> serverSnapshot = List.of();
  private final Map<String, Model> models = new ConcurrentHashMap<>();
  private final Map<String, Placement> placements = new ConcurrentHashMap<>();

  /**
   * Creates a catalog that is updated on each change of the state.
   *
   * @param state the configuration objects in force
   * @param onFaulty called with each invalid object and its faults
   */
  public ConfigurationCatalog(
      ConfigurationHolder state,
      BiConsumer<ConfigurationRecord, List<ConfigurationFault>> onFaulty) {
    this.state = state;
    this.onFaulty = onFaulty;
    state.onChange(this::applyNewest);
  }

  /** Returns the profiles by name. */
  public Map<String, Profile> profiles() {
    return Map.copyOf(profiles);
  }

  /** Finds a profile by name. */
  public Optional<Profile> profile(String name) {
    return Optional.ofNullable(profiles.get(name));
  }

  /** Finds the workspace that owns a bearer key. */
  public Optional<Workspace> workspaceByKey(String key) {
    return Optional.ofNullable(workspacesByDigest.get(KeyDigest.sha256Hex(key)));
  }

  /** Finds a workspace by name. */
  public Optional<Workspace> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /** Returns the configured backend servers; the same list instance until one of them changes. */
  public Collection<BackendServer> servers() {
    return serverSnapshot;
  }

  /** Finds a model by name. */
  public Optional<Model> model(String name) {
    return Optional.ofNullable(models.get(name));
  }

  /** Returns the desired model placement of each engine. */
  public Collection<Placement> placements() {
    return List.copyOf(placements.values());
  }

  /**
   * Applies the newest version of a changed object, since notifications may arrive out of order.
   */
  private synchronized void applyNewest(ConfigurationRecord change) {
    ConfigurationRecord deleted =
        ConfigurationRecord.deleted(change.kind(), change.name(), change.version());
    ConfigurationRecord record = state.find(change.kind(), change.name()).orElse(deleted);
    switch (record.kind()) {
      case PROFILE ->
          put(record, profiles, json -> read(record, json, ConfigurationDocuments::profile));
      case WORKSPACE -> putWorkspace(record);
      case SERVER -> putServer(record);
      case MODEL -> put(record, models, json -> read(record, json, ConfigurationDocuments::model));
      case PLACEMENT ->
          put(record, placements, json -> read(record, json, ConfigurationDocuments::placement));
      default -> throw new IllegalStateException("unknown kind " + record.kind());
    }
  }

  private void putServer(ConfigurationRecord record) {
    put(record, servers, json -> read(record, json, ConfigurationDocuments::server));
    serverSnapshot = List.copyOf(servers.values());
  }

  private void putWorkspace(ConfigurationRecord record) {
    put(record, workspaces, json -> read(record, json, ConfigurationDocuments::workspace));
    workspacesByDigest.values().removeIf(workspace -> workspace.name().equals(record.name()));
    Optional.ofNullable(workspaces.get(record.name()))
        .ifPresent(
            workspace ->
                workspace
                    .keySha256Hex()
                    .forEach(digest -> workspacesByDigest.put(digest, workspace)));
  }

  private <T> void put(
      ConfigurationRecord record, Map<String, T> target, Function<String, Optional<T>> reader) {
    if (record.json().isEmpty()) {
      target.remove(record.name());
      return;
    }
    reader.apply(record.json().get()).ifPresent(value -> target.put(record.name(), value));
  }

  private <T> Optional<T> read(ConfigurationRecord record, String json, DocumentReader<T> reader) {
    Either<List<ConfigurationFault>, T> result = reader.read(record.name(), json);
    result.peekLeft(faults -> onFaulty.accept(record, faults));
    return result.toJavaOptional();
  }

  /** Parses the JSON document of one configuration kind. */
  @FunctionalInterface
  private interface DocumentReader<T> {
    Either<List<ConfigurationFault>, T> read(String name, String json);
  }
}
