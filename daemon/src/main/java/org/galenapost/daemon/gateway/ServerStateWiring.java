package org.galenapost.daemon.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.galenapost.core.cell.CellBus;
import org.galenapost.core.cell.FleetCells;
import org.galenapost.core.dispatch.BrittleServers;
import org.galenapost.core.dispatch.HeldPromptSavings;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceStatusBroadcaster;
import org.galenapost.core.dispatch.PlacementExplainer;
import org.galenapost.core.dispatch.PromptSavings;
import org.galenapost.core.dispatch.RequestedPauses;
import org.galenapost.core.dispatch.RetiredInstancesExchange;
import org.galenapost.core.dispatch.RoomQueue;
import org.galenapost.core.dispatch.RunTimes;
import org.galenapost.core.dispatch.SendPermits;
import org.galenapost.core.dispatch.ServerLimits;
import org.galenapost.core.dispatch.ServerObservations;
import org.galenapost.core.dispatch.ServerSpeeds;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.prompt.HeldPromptsExchange;
import org.galenapost.core.prompt.PromptReadListener;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.gateway.run.InstancePaces;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.DaemonSettings;
import org.galenapost.daemon.settings.PlacementSettings;

/** Joins what a daemon knows of servers: their use, failures and wishes, and the choice by them. */
final class ServerStateWiring {

  private final InstanceDirectory directory;
  private final CellBus cellBus;
  private final Scheduler scheduler;
  private final ServerUseTracker useTracker = new ServerUseTracker();
  private final InstancePaces paces = new InstancePaces();
  private final InstanceHealth health;
  private final InstanceStatusBroadcaster statusBroadcaster;
  private final RequestedPauses pauses;
  private final ServerLimits limits;
  private final SendPermits permits;
  private final BrittleServers brittleServers;
  private final RetiredInstancesExchange retiredExchange;
  private final ServerSpeeds speeds;
  private final RunTimes runTimes = new RunTimes();
  private final boolean prefersHeldPrompts;
  private final HeldPrompts heldPrompts;
  private final HeldPromptsExchange promptsExchange;
  private final UseReportExchange useExchange;
  private final RoomQueue roomQueue;
  private final InstanceChooser chooser;

  ServerStateWiring(
      DaemonSettings daemon,
      PlacementSettings placement,
      Duration serverEntryTimeout,
      InstanceDirectory directory,
      FleetCells cells,
      PeerBus bus,
      CellBus cellBus,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomSource random) {
    this.directory = directory;
    this.cellBus = cellBus;
    this.scheduler = scheduler;
    this.health = new InstanceHealth(clock, serverEntryTimeout);
    this.statusBroadcaster = new InstanceStatusBroadcaster(health, directory, cellBus, bus);
    this.pauses = new RequestedPauses(clock);
    this.limits = new ServerLimits(bus, clock, GatewayLog.serverLimits());
    this.permits = new SendPermits(daemon.id(), bus, scheduler, clock, limits, pauses);
    this.brittleServers = new BrittleServers(bus, clock, pauses, GatewayLog.brittleServers());
    this.retiredExchange = new RetiredInstancesExchange(directory, bus, scheduler, random);
    this.speeds = new ServerSpeeds(cellBus, clock, scheduler);
    this.prefersHeldPrompts = placement.prefersHeldPrompts();
    this.heldPrompts = new HeldPrompts(clock);
    this.promptsExchange = new HeldPromptsExchange(heldPrompts, cellBus, scheduler);
    this.useExchange = new UseReportExchange(useTracker, cellBus, scheduler, clock);
    this.roomQueue = new RoomQueue(clock, scheduler, random);
    this.chooser =
        new InstanceChooser(
            daemon.dataCentre(),
            directory,
            cells::contains,
            new ServerObservations(
                useTracker, speeds, runTimes, health, pauses, brittleServers::isBrittle),
            random,
            prefersHeldPrompts ? new HeldPromptSavings(heldPrompts) : PromptSavings.NONE,
            cells::hasManyDaemons);
    if (prefersHeldPrompts) {
      health.onLoss(promptsExchange::onLost);
    }
  }

  /** Returns the services in the order in which they start. */
  List<Service> services() {
    return List.of(
        Service.of("server-limits", limits::start, () -> {}),
        Service.of("send-permits", permits::start, permits::stop),
        Service.of("brittle-servers", brittleServers::start, () -> {}),
        Service.of("instance-news", statusBroadcaster::start, () -> {}),
        Service.of("retired-servers", retiredExchange::start, retiredExchange::stop),
        Service.of("server-speeds", speeds::start, speeds::stop),
        heldPromptsService(),
        useExchange,
        new InstanceCleaner(
            directory,
            health,
            statusBroadcaster,
            pauses,
            limits,
            brittleServers,
            permits,
            () -> retainServers(directory.keys()),
            scheduler));
  }

  private void retainServers(Set<InstanceKey> servers) {
    paces.retainOnly(servers);
    speeds.retainOnly(servers);
    heldPrompts.retainOnly(servers);
  }

  /**
   * Returns the exchange of held prompts, which sends and receives nothing if they are not used.
   */
  private Service heldPromptsService() {
    Runnable start = prefersHeldPrompts ? promptsExchange::start : () -> {};
    return Service.of("held-prompts", start, promptsExchange::stop);
  }

  /** Returns the listener that learns which prompts servers have read. */
  PromptReadListener promptReads() {
    return prefersHeldPrompts ? promptsExchange : PromptReadListener.NONE;
  }

  void addGauges(DaemonMetrics metrics) {
    metrics.registerGauge("galenapost.gateway.servers.limited", limits::count);
    metrics.registerGauge("galenapost.gateway.permits.granted", permits::grantedCount);
    metrics.registerGauge("galenapost.gateway.permits.denied", permits::deniedCount);
    metrics.registerGauge("galenapost.gateway.servers.brittle", brittleServers::count);
    metrics.registerGauge("galenapost.gateway.room.waiting", roomQueue::waitingCount);
    metrics.registerGauge("galenapost.gateway.room.started", roomQueue::startedCount);
    metrics.registerGauge("galenapost.gateway.room.refused", roomQueue::refusedCount);
    metrics.registerGauge("galenapost.gateway.speed.samples", speeds::sampleCount);
    metrics.registerGauge("galenapost.gateway.speed.lowest.tokens.per.s", speeds::lowestTokensPerS);
    metrics.registerGauge("galenapost.gateway.held.prompt.parts", heldPrompts::partCount);
  }

  ServerUseTracker useTracker() {
    return useTracker;
  }

  RoomQueue roomQueue() {
    return roomQueue;
  }

  ServerSpeeds speeds() {
    return speeds;
  }

  RunTimes runTimes() {
    return runTimes;
  }

  InstancePaces paces() {
    return paces;
  }

  InstanceHealth health() {
    return health;
  }

  InstanceStatusBroadcaster statusBroadcaster() {
    return statusBroadcaster;
  }

  RequestedPauses pauses() {
    return pauses;
  }

  ServerLimits limits() {
    return limits;
  }

  SendPermits permits() {
    return permits;
  }

  BrittleServers brittleServers() {
    return brittleServers;
  }

  PlacementExplainer placementExplainer() {
    return new PlacementExplainer(chooser, directory, useTracker, health, pauses, heldPrompts);
  }

  /** Returns the age of the oldest report in force on the use of servers, in milliseconds. */
  long useAgeMs() {
    return useExchange.oldestReportAge().toMillis();
  }

  InstanceChooser chooser() {
    return chooser;
  }
}
