package org.galenapost.daemon.gateway;

import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.galenapost.core.cell.CellBus;
import org.galenapost.core.cell.FleetCells;
import org.galenapost.core.configuration.ConfigurationFollower;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationState;
import org.galenapost.core.configuration.FollowSettings;
import org.galenapost.core.configuration.StartCheck;
import org.galenapost.core.configuration.WatchAssignment;
import org.galenapost.core.dispatch.PlacementExplainer;
import org.galenapost.core.dispatch.ReturnDelay;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.membership.HeartbeatMembership;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MembershipSettings;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformCircuitBreaker;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.quarantine.PromptPartQuarantine;
import org.galenapost.core.quarantine.Quarantine;
import org.galenapost.core.route.RouteTable;
import org.galenapost.core.route.RouteTableHolder;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.controller.MembershipController;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.front.CallerFrontend;
import org.galenapost.daemon.gateway.front.RequestValidator;
import org.galenapost.daemon.gateway.run.BufferBudget;
import org.galenapost.daemon.gateway.run.GatewayContext;
import org.galenapost.daemon.gateway.run.GatewayMeters;
import org.galenapost.daemon.gateway.upstream.ConnectProbes;
import org.galenapost.daemon.gateway.upstream.ServerAddresses;
import org.galenapost.daemon.gateway.upstream.ServerConnectionPool;
import org.galenapost.daemon.generation.EventLoopStallGuard;
import org.galenapost.daemon.http.ConnectionSlots;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.DrainSequence;
import org.galenapost.daemon.lifecycle.PendingWork;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.net.DescriptorLimit;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HeadBudget;
import org.galenapost.daemon.peer.PeerAddress;
import org.galenapost.daemon.peer.TcpPeerBus;
import org.galenapost.daemon.platform.PlatformHttpClient;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.time.EventLoopScheduler;

/** Builds a gateway from its settings; nothing runs before it is started. */
public final class GatewayBuilder {

  private static final MembershipSettings MEMBERSHIP = MembershipSettings.defaults();

  /** Caps the backoff after a failed store call, so that changes still arrive in time. */
  private static final Duration MAX_STORE_BACKOFF = Duration.ofSeconds(1);

  /** Bounds how long a hanging watch may hide changes, whatever the settings say. */
  private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(5);

  /** Period of pulls from one peer; well below the time within which changes must be in force. */
  private static final Duration PULL_PERIOD = Duration.ofMillis(1_000);

  private final GatewaySettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
  private final EventLoops eventLoops = new EventLoops(1);
  private final EventLoop loop = eventLoops.group().next();
  private final Scheduler scheduler = new EventLoopScheduler(loop);
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final PendingWork calls = new PendingWork();
  private final DescriptorLimit descriptors = DescriptorLimit.ofProcess();
  private final HeadBudget heads =
      HeadBudget.ofHeap(Runtime.getRuntime().maxMemory(), new HeadRefusalLog(clock)::recordRefusal);
  private final List<Service> services = new ArrayList<>();
  private final Optional<ServerSocketChannel> callerSocket;
  private final ServerAddresses serverAddresses;
  private final CallFormat format;
  private final HandoverTickets tickets;
  private final PlatformHttpClient client;
  private final ObjectStore store;
  private final TcpPeerBus bus;
  private Optional<HttpListener> callerListener = Optional.empty();
  private RetryWiring retries;
  private HandoverWiring handover;
  private PlacementExplainer placementExplainer;
  private LongSupplier useAgeMs;

  private GatewayBuilder(
      GatewaySettings settings,
      GatewayAdapter adapter,
      Optional<ServerSocketChannel> callerSocket,
      ServerAddresses serverAddresses) {
    this.serverAddresses = serverAddresses;
    this.settings = settings;
    this.callerSocket = callerSocket;
    this.format = adapter.callFormat();
    this.tickets = new HandoverTickets(settings.peer().secret());
    this.client =
        new PlatformHttpClient(
            settings.platform(), new PlatformCircuitBreaker(clock), eventLoops.group());
    this.store = adapter.objectStore(client);
    this.bus = new TcpPeerBus(settings.daemon().id(), settings.peer(), eventLoops.group());
  }

  /** Builds a gateway that binds every address when it starts. */
  public static GatewayDaemon build(GatewaySettings settings, GatewayAdapter adapter) {
    return build(settings, adapter, ServerAddresses.announced());
  }

  /**
   * Builds a gateway that reaches the servers at other addresses than those that they announce.
   *
   * @param settings the settings
   * @param adapter connects the gateway to its platform
   * @param serverAddresses the address of each server
   */
  public static GatewayDaemon build(
      GatewaySettings settings, GatewayAdapter adapter, ServerAddresses serverAddresses) {
    return new GatewayBuilder(settings, adapter, Optional.empty(), serverAddresses).build();
  }

  /**
   * Builds a gateway whose caller address is already bound.
   *
   * @param settings the settings
   * @param adapter connects the gateway to its platform
   * @param callerSocket the bound server socket for callers
   */
  public static GatewayDaemon build(
      GatewaySettings settings, GatewayAdapter adapter, ServerSocketChannel callerSocket) {
    return new GatewayBuilder(
            settings, adapter, Optional.of(callerSocket), ServerAddresses.announced())
        .build();
  }

  private GatewayDaemon build() {
    EventLoopStallGuard stallGuard = new EventLoopStallGuard(eventLoops.group(), clock);
    PlatformReachability reachability =
        new PlatformReachability(clock, GatewayLog::storeReachabilityChanged);
    RouteTableHolder routes =
        new RouteTableHolder(GatewayLog::routesChanged, GatewayLog::configurationFaulty);
    InstanceDirectory directory =
        new InstanceDirectory(
            clock, reachability, settings.timings().lapsedUse(), GatewayLog::instanceChanged);
    ConfigurationState configuration = new ConfigurationState(ConfigurationKind.GATEWAY_KINDS);
    configuration.onChange(routes::applyChange);
    configuration.onChange(directory::applyChange);
    FleetCells cells =
        new FleetCells(
            settings.daemon().id(), bus::livePeerIds, directory, GatewayLog::cellChanged);
    MembershipController membership = membershipController(stallGuard);
    RegistrationController registration = registrationController(membership);
    retries = new RetryWiring(settings.repeats(), MEMBERSHIP, membership, registration, clock);
    ConfigurationFollower follower =
        configurationFollower(
            configuration, cells, reachability, () -> knownPeerCount(registration));
    DaemonState state = new DaemonState(() -> follower.isReady() && routes.current().isPresent());
    services.addAll(List.of(eventLoops, client, bus, stallGuard, membership, registration));
    services.add(Service.of("configuration", follower::start, follower::stop));
    StreamOriginWiring streams =
        streamOriginWiring(directory, routes, follower, reachability, registration);
    RolloutWiring rollouts = rolloutWiring(directory, routes);
    GatewayContext context = gatewayContext(directory, cells, streams, rollouts, stallGuard, state);
    Supplier<Optional<RouteTable>> routesInForce =
        () -> follower.isReady() ? routes.current() : Optional.empty();
    RequestValidator validator = new RequestValidator(format, routesInForce, state, tickets);
    CallerFrontend frontend = callerFrontend(context, validator, routesInForce, state);
    GatewayListeners listeners =
        new GatewayListeners(settings, eventLoops, state, metrics, heads, descriptors);
    HttpListener caller = listeners.callers(frontend, callerSocket);
    callerListener = Optional.of(caller);
    HttpListener operator =
        listeners.operators(
            new PlacementRoutes(validator, context.chooser(), placementExplainer, useAgeMs));
    HttpListener readiness = listeners.readiness();
    services.add(operator);
    services.add(
        callerSocket.isPresent() ? new CallerGate(caller, state, scheduler, clock) : caller);
    services.add(readiness);
    services.add(handover.service());
    addGauges(frontend, directory, cells, context);
    DrainSequence drain = drainSequence(state, frontend, caller);
    return new GatewayDaemon(
        services, state, drain, caller, readiness, operator, bus::ownAddress, bus::setSeeds);
  }

  private CallerFrontend callerFrontend(
      GatewayContext context,
      RequestValidator validator,
      Supplier<Optional<RouteTable>> routesInForce,
      DaemonState state) {
    int maxConnections =
        Math.min(settings.limits().maxConnections(), descriptors.maxCallerConnections());
    ConnectionSlots slots =
        new ConnectionSlots(maxConnections, () -> metrics.recordRefusedConnection("caller"));
    return new CallerFrontend(context, validator, routesInForce, state, calls, heads, slots);
  }

  private ConfigurationFollower configurationFollower(
      ConfigurationState configuration,
      FleetCells cells,
      PlatformReachability reachability,
      IntSupplier knownPeerCount) {
    WatchAssignment assignment =
        new WatchAssignment(
            settings.daemon().id(),
            ConfigurationKind.GATEWAY_KINDS,
            Set.of(ConfigurationKind.GATEWAY),
            cells::watchPeers,
            clock,
            GatewayLog::watchAssignmentChanged);
    return new ConfigurationFollower(
        configuration,
        store,
        bus,
        scheduler,
        random::nextDouble,
        new FollowSettings(watchWait(), MAX_STORE_BACKOFF, PULL_PERIOD),
        assignment,
        reachability,
        new StartCheck(knownPeerCount, GatewayLog::configurationCompared));
  }

  /** Returns the number of other daemons that may be running, registered or set as seeds. */
  private int knownPeerCount(RegistrationController registration) {
    PeerAddress own = bus.ownAddress();
    long otherSeeds =
        settings.peer().seeds().stream()
            .filter(seed -> !new PeerAddress(seed.ip(), seed.port()).equals(own))
            .count();
    return Math.max(registration.otherDaemonCount(), (int) otherSeeds);
  }

  private Duration watchWait() {
    Duration configured = settings.platform().watchWait();
    return configured.compareTo(MAX_WATCH_WAIT) < 0 ? configured : MAX_WATCH_WAIT;
  }

  private MembershipController membershipController(EventLoopStallGuard stallGuard) {
    MembershipController membership =
        new MembershipController(
            settings.daemon(),
            bus,
            self -> heartbeatMembership(stallGuard, self),
            MEMBERSHIP.period(),
            InstantSource.system(),
            scheduler,
            random::nextDouble);
    metrics.registerGauge("galenapost.peers.live", () -> membership.liveIds().size());
    return membership;
  }

  private RegistrationController registrationController(MembershipController membership) {
    return new RegistrationController(
        settings.daemon(),
        store,
        bus::ownAddress,
        hosts -> membership.onHosts(new HostList(0, hosts)),
        scheduler,
        random::nextDouble);
  }

  private HeartbeatMembership heartbeatMembership(
      EventLoopStallGuard stallGuard, MemberRecord self) {
    return new HeartbeatMembership(
        self,
        MEMBERSHIP,
        bus,
        clock,
        stallGuard,
        random,
        member -> bus.updateAddress(member.id(), new PeerAddress(member.ip(), member.port())));
  }

  private GatewayContext gatewayContext(
      InstanceDirectory directory,
      FleetCells cells,
      StreamOriginWiring streams,
      RolloutWiring rollouts,
      EventLoopStallGuard stallGuard,
      DaemonState state) {
    CellBus cellBus = new CellBus(bus, cells);
    ServerStateWiring servers = serverStateWiring(directory, cells, cellBus);
    ConnectProbes probes = new ConnectProbes(loop, serverAddresses);
    handover = handoverWiring(directory, probes, cellBus, servers, state);
    PromptPartQuarantine partQuarantine = promptPartQuarantine();
    ServerConnectionPool pool = serverConnectionPool();
    services.addAll(servers.services());
    placementExplainer = servers.placementExplainer();
    useAgeMs = servers::useAgeMs;
    return new GatewayContext(
        settings.daemon().id(),
        clock,
        scheduler,
        format,
        pool,
        probes,
        directory,
        servers.chooser(),
        servers.useTracker(),
        servers.speeds(),
        servers.runTimes(),
        new ReturnDelay(random::nextDouble),
        servers.health(),
        servers.pauses(),
        servers.promptReads(),
        servers.limits(),
        servers.brittleServers(),
        servers.permits(),
        streams.origins(),
        streams.records(),
        handover.reach(),
        handover.peers(),
        tickets,
        servers.statusBroadcaster(),
        retries.budget(),
        retries.loans(cellBus, scheduler, random::nextDouble),
        requestQuarantine(partQuarantine),
        partQuarantine,
        stallGuard,
        servers.paces(),
        BufferBudget.ofHeap(Runtime.getRuntime().maxMemory()),
        servers.roomQueue(),
        new GatewayMeters(metrics.registry()),
        rollouts.rollouts(),
        state::refusesNewRequests);
  }

  private StreamOriginWiring streamOriginWiring(
      InstanceDirectory directory,
      RouteTableHolder routes,
      ConfigurationFollower follower,
      PlatformReachability reachability,
      RegistrationController registration) {
    StreamOriginWiring streams =
        new StreamOriginWiring(
            settings, bus, store, directory, routes, follower, reachability, scheduler, clock);
    if (settings.platform().isFirstStart()) {
      registration.setOnFirstRegistration(
          () -> {
            streams.records().confirmFirstStart();
            retries.confirmFirstStart();
          });
    }
    streams.addGauges(metrics);
    services.addAll(streams.services());
    return streams;
  }

  private RolloutWiring rolloutWiring(InstanceDirectory directory, RouteTableHolder routes) {
    RolloutWiring rollouts =
        new RolloutWiring(
            settings, bus, store, directory, routes, scheduler, clock, random::nextDouble);
    rollouts.addGauges(metrics);
    services.addAll(rollouts.services());
    return rollouts;
  }

  private ServerStateWiring serverStateWiring(
      InstanceDirectory directory, FleetCells cells, CellBus cellBus) {
    ServerStateWiring servers =
        new ServerStateWiring(
            settings.daemon(),
            settings.placement(),
            settings.timings().serverEntryTimeout(),
            directory,
            cells,
            bus,
            cellBus,
            scheduler,
            clock,
            random::nextDouble);
    servers.addGauges(metrics);
    return servers;
  }

  private HandoverWiring handoverWiring(
      InstanceDirectory directory,
      ConnectProbes probes,
      CellBus cellBus,
      ServerStateWiring servers,
      DaemonState state) {
    HandoverWiring wiring =
        new HandoverWiring(
            settings,
            state,
            () -> callerListener.map(HttpListener::port).orElse(0),
            directory,
            probes,
            cellBus,
            servers.useTracker(),
            servers.health(),
            servers.statusBroadcaster(),
            scheduler,
            clock,
            random::nextDouble);
    wiring.addGauges(metrics);
    return wiring;
  }

  private ServerConnectionPool serverConnectionPool() {
    ServerConnectionPool pool =
        new ServerConnectionPool(
            loop, format, clock, settings.timings().connectTimeout(), serverAddresses, heads);
    services.add(pool);
    return pool;
  }

  private PromptPartQuarantine promptPartQuarantine() {
    PromptPartQuarantine quarantine =
        new PromptPartQuarantine(
            bus, clock, scheduler, random::nextDouble, GatewayLog.promptParts());
    services.add(Service.of("prompt-part-quarantine", quarantine::start, quarantine::stop));
    return quarantine;
  }

  private Quarantine requestQuarantine(PromptPartQuarantine partQuarantine) {
    Quarantine quarantine =
        new Quarantine(bus, InstantSource.system(), clock, partQuarantine::isCauseOfLoss);
    services.add(Service.of("quarantine", quarantine::start, () -> {}));
    return quarantine;
  }

  private void addGauges(
      CallerFrontend frontend,
      InstanceDirectory directory,
      FleetCells cells,
      GatewayContext context) {
    metrics.registerGauge("galenapost.requests.in.progress", calls::count);
    metrics.registerGauge("galenapost.caller.connections", frontend::connectionCount);
    metrics.registerGauge("galenapost.gateway.body.bytes.held", frontend::bodyBytes);
    metrics.registerGauge("galenapost.gateway.body.bytes.max", frontend::maxBodyBytes);
    metrics.registerGauge("galenapost.gateway.head.bytes.held", heads::heldBytes);
    metrics.registerGauge("galenapost.gateway.head.bytes.max", heads::maxBytes);
    metrics.registerGauge("galenapost.gateway.heads.refused", heads::refusedCount);
    metrics.registerGauge("galenapost.gateway.heads.evicted", heads::evictedCount);
    metrics.registerGauge("galenapost.gateway.instances", directory::size);
    metrics.registerGauge("galenapost.gateway.retry.share", retries::share);
    metrics.registerGauge(
        "galenapost.gateway.answer.bytes.held", context.answerBuffers()::totalBytes);
    metrics.registerGauge(
        "galenapost.gateway.answers.dropped", context.answerBuffers()::droppedCount);
    metrics.registerGauge("galenapost.gateway.cell.peers", cells::peerCount);
    metrics.registerGauge(
        "galenapost.gateway.server.connections.opened", context.pool()::openedConnectionCount);
    metrics.registerGauge("galenapost.gateway.server.faults", context.pool()::serverFaultCount);
    metrics.registerGauge("galenapost.peer.sent.bytes", bus.traffic()::sentBytes);
    metrics.registerGauge("galenapost.peer.received.bytes", bus.traffic()::receivedBytes);
  }

  private DrainSequence drainSequence(
      DaemonState state, CallerFrontend frontend, HttpListener callerListener) {
    return new DrainSequence(
        state,
        settings.timings().drainNotice(),
        settings.timings().drainLimit(),
        () -> {
          callerListener.stopAccepting();
          loop.submit(frontend::closeIdleConnections).awaitUninterruptibly();
        },
        calls::whenEmpty,
        calls::count);
  }
}
