package org.galenapost.daemon.controller;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationCatalog;
import org.galenapost.core.configuration.ConfigurationFault;
import org.galenapost.core.configuration.ConfigurationFollower;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.configuration.KindRevision;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.drain.DrainOrders;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.service.Service;

/** Keeps the configuration in force up to date and answers the request path from memory. */
public final class ConfigurationController implements ConfigurationView, Service {

  private static final EventLog LOG = EventLog.of(ConfigurationController.class);

  private final ConfigurationHolder state;
  private final ConfigurationCatalog catalog;
  private final ConfigurationFollower follower;
  private final DrainOrders drainOrders;

  /**
   * Creates a controller.
   *
   * @param state the state to keep up to date
   * @param store the platform's object API
   * @param bus carries messages to the other daemons
   * @param scheduler runs retries and rounds
   * @param random spreads retries
   * @param watchWait how long the platform holds a watch when nothing changes
   */
  public ConfigurationController(
      ConfigurationHolder state,
      ObjectStore store,
      PeerBus bus,
      Scheduler scheduler,
      RandomSource random,
      Duration watchWait) {
    this.state = state;
    this.catalog = new ConfigurationCatalog(state, ConfigurationController::logFaults);
    this.drainOrders = new DrainOrders(state);
    this.follower = new ConfigurationFollower(state, store, bus, scheduler, random, watchWait);
  }

  private static void logFaults(ConfigurationRecord record, List<ConfigurationFault> faults) {
    LOG.warn("configuration_faulty")
        .with("kind", record.kind().wireName())
        .with("name", record.name())
        .with("version", record.version())
        .with("faults", faults)
        .write();
  }

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public void start() {
    follower.start();
  }

  @Override
  public void stop() {
    follower.stop();
  }

  /** Returns the objects in force. */
  public ConfigurationHolder state() {
    return state;
  }

  /** Returns the operators' orders that the platform does not hold yet. */
  public DrainOrders drainOrders() {
    return drainOrders;
  }

  /** Returns the typed form of the objects in force. */
  public ConfigurationCatalog catalog() {
    return catalog;
  }

  /** Puts an accepted change in force here and tells the other daemons. */
  public void accept(ConfigurationRecord record) {
    state.merge(record);
    follower.push(record);
  }

  @Override
  public Optional<Profile> profile(String name) {
    return catalog.profile(name);
  }

  @Override
  public Optional<Workspace> workspaceByKey(String key) {
    return catalog.workspaceByKey(key);
  }

  @Override
  public Optional<Workspace> workspace(String name) {
    return catalog.workspace(name);
  }

  @Override
  public Collection<BackendServer> servers() {
    return drainOrders.applyTo(catalog.servers());
  }

  @Override
  public long revision() {
    return state.revisions().stream().mapToLong(KindRevision::revision).max().orElse(0);
  }

  @Override
  public boolean isReady() {
    return follower.isReady();
  }
}
