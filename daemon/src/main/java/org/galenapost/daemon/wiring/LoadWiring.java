package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.admission.Admission;
import org.galenapost.core.admission.AdmissionSettings;
import org.galenapost.core.admission.DemandExchange;
import org.galenapost.core.admission.DemandShares;
import org.galenapost.core.admission.QueuedAdmission;
import org.galenapost.core.admission.WorkspaceTerms;
import org.galenapost.core.configuration.Workspace;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.retry.RetryBudgets;
import org.galenapost.core.retry.RetrySettings;
import org.galenapost.core.routing.DaemonSite;
import org.galenapost.core.routing.DataCentreDistance;
import org.galenapost.core.routing.FleetRouter;
import org.galenapost.core.routing.Placements;
import org.galenapost.core.routing.PrefixHints;
import org.galenapost.core.routing.Router;
import org.galenapost.core.routing.RoutingSettings;
import org.galenapost.core.routing.ServerChoice;
import org.galenapost.core.routing.ServerSubset;
import org.galenapost.core.routing.TwoCandidateChoice;
import org.galenapost.daemon.load.EnginePoller;
import org.galenapost.daemon.load.FleetFollower;
import org.galenapost.daemon.load.LoadMeters;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.DaemonSettings;

/** Composes routing, admission and retries. */
final class LoadWiring {

  private static final RoutingSettings ROUTING_SETTINGS = RoutingSettings.defaults();
  private static final DataCentreDistance DATA_CENTRE_DISTANCE = DataCentreDistance.EQUIDISTANT;

  private final DaemonContext context;
  private final Mechanisms mechanisms;
  private final AgreementParts agreement;
  private final LoadMeters meters;
  private final PrefixHints hints;
  private final Placements placements = new Placements();

  private LoadWiring(DaemonContext context, Mechanisms mechanisms, AgreementParts agreement) {
    this.context = context;
    this.mechanisms = mechanisms;
    this.agreement = agreement;
    this.meters = new LoadMeters(context.metrics());
    this.hints = new PrefixHints(context.clock());
  }

  static LoadParts create(DaemonContext context, Mechanisms mechanisms, AgreementParts agreement) {
    return new LoadWiring(context, mechanisms, agreement).create();
  }

  private LoadParts create() {
    FleetRouter router = createRouter();
    EnginePoller poller = createPoller(router);
    FleetFollower follower = createFollower(router, poller);
    DemandShares shares =
        new DemandShares(context.clock(), () -> agreement.peers().livePeerIds().size() + 1);
    RetryBudget retries =
        new RetryBudgets(context.clock(), RetrySettings.defaults(), context.random(), meters);
    return new LoadParts(
        mechanisms.choose(Router.class, router, context),
        mechanisms.choose(Admission.class, createAdmission(shares), context),
        mechanisms.choose(RetryBudget.class, retries, context),
        follower::hasPublishedFleet,
        List.of(follower, poller, createDemandExchange(shares)));
  }

  private FleetRouter createRouter() {
    ServerChoice choice =
        new TwoCandidateChoice(
            context.settings().daemon().dataCentre(),
            DATA_CENTRE_DISTANCE,
            ROUTING_SETTINGS,
            hints,
            context.random(),
            meters);
    return new FleetRouter(
        context.clock(),
        ROUTING_SETTINGS,
        mechanisms.choose(ServerChoice.class, choice, context),
        placements,
        hints,
        context.random(),
        meters);
  }

  private EnginePoller createPoller(FleetRouter router) {
    return new EnginePoller(
        router,
        hints,
        placements,
        context.clients(),
        context.clock(),
        context.scheduler(),
        context.random());
  }

  private Admission createAdmission(DemandShares shares) {
    QueuedAdmission admission =
        new QueuedAdmission(
            context.clock(),
            context.scheduler(),
            AdmissionSettings.defaults(),
            this::workspaceTerms,
            shares,
            context.random(),
            meters);
    context.metrics().registerGauge("galenapost.admission.queued", admission::totalQueued);
    return admission;
  }

  private WorkspaceTerms workspaceTerms(String workspace) {
    return agreement
        .configuration()
        .workspace(workspace)
        .map(LoadWiring::toTerms)
        .orElse(WorkspaceTerms.UNLIMITED);
  }

  private static WorkspaceTerms toTerms(Workspace workspace) {
    return new WorkspaceTerms(workspace.weight(), OptionalDouble.empty());
  }

  private FleetFollower createFollower(FleetRouter router, EnginePoller poller) {
    DaemonSettings daemon = context.settings().daemon();
    Consumer<List<BackendServer>> onSubset =
        subset -> {
          router.onServers(subset);
          poller.onServers(subset);
        };
    return new FleetFollower(
        new DaemonSite(daemon.id(), daemon.dataCentre()),
        this::liveDaemonSites,
        agreement.configuration()::servers,
        agreement.configuration()::isReady,
        new ServerSubset(DATA_CENTRE_DISTANCE),
        onSubset,
        context.scheduler());
  }

  private Collection<DaemonSite> liveDaemonSites() {
    Set<String> liveIds = agreement.peers().livePeerIds();
    return agreement.members().get().stream()
        .filter(member -> liveIds.contains(member.id()))
        .map(member -> new DaemonSite(member.id(), member.dataCentre()))
        .toList();
  }

  private Service createDemandExchange(DemandShares shares) {
    DemandExchange exchange =
        new DemandExchange(
            context.settings().daemon().id(),
            agreement.peers(),
            shares,
            context.clock(),
            context.scheduler(),
            context.random());
    return Service.of("demand-exchange", exchange::start, exchange::stop);
  }
}
