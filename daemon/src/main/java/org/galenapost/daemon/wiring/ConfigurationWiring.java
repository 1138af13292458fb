package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationState;
import org.galenapost.core.configuration.ConfigurationWriter;
import org.galenapost.core.configuration.RevisionSurvey;
import org.galenapost.core.drain.DrainControl;
import org.galenapost.core.drain.DrainNotice;
import org.galenapost.core.drain.DrainNoticeSender;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.membership.MemberStatus;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.daemon.controller.ConfigurationController;
import org.galenapost.daemon.operator.ConfigurationRoutes;
import org.galenapost.daemon.operator.ServerRoutes;
import org.galenapost.daemon.service.Service;

/** Composes the configuration in force and the operators' changes of it. */
final class ConfigurationWiring {

  private ConfigurationWiring() {}

  static Parts create(
      DaemonContext context,
      Mechanisms mechanisms,
      ObjectStore store,
      PeerBus bus,
      Supplier<Collection<MemberRecord>> members) {
    ConfigurationHolder state =
        mechanisms.choose(ConfigurationHolder.class, new ConfigurationState(), context);
    ConfigurationController controller =
        new ConfigurationController(
            state,
            store,
            bus,
            context.scheduler(),
            context.random()::nextDouble,
            context.settings().platform().watchWait());
    ConfigurationWriter writer = new ConfigurationWriter(store, controller::accept);
    String ownId = context.settings().daemon().id();
    RevisionSurvey survey =
        new RevisionSurvey(
            ownId, state, bus, context.scheduler(), () -> presentMemberIds(members.get()));
    ConfigurationRoutes.addTo(context.routes(), state, writer, survey);
    DrainControl drains = createDrainControl(context, mechanisms, controller, writer, bus);
    bus.onMessage(DrainNotice.class, (sender, notice) -> drains.applyNotice(notice));
    ServerRoutes.addTo(context.routes(), drains);
    Service drainService = Service.of("server-drains", drains::start, drains::stop);
    return new Parts(controller, List.of(controller, drainService));
  }

  private static Set<String> presentMemberIds(Collection<MemberRecord> members) {
    return members.stream()
        .filter(member -> member.status() != MemberStatus.LEFT)
        .map(MemberRecord::id)
        .collect(Collectors.toSet());
  }

  private static DrainControl createDrainControl(
      DaemonContext context,
      Mechanisms mechanisms,
      ConfigurationController controller,
      ConfigurationWriter writer,
      PeerBus bus) {
    DrainNoticeSender spread = DrainNoticeSender.overPeers(bus, context.random()::nextDouble);
    return new DrainControl(
        context.settings().daemon().id(),
        controller.state(),
        writer,
        controller.drainOrders(),
        mechanisms.choose(DrainNoticeSender.class, spread, context),
        context.scheduler(),
        context.random()::nextDouble,
        context.time());
  }

  /**
   * What keeps the configuration.
   *
   * @param controller the configuration in force
   * @param services what has to be started, in order
   */
  record Parts(ConfigurationController controller, List<Service> services) {

    Parts {
      services = List.copyOf(services);
    }
  }
}
