package org.galenapost.daemon.wiring;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.platform.PlatformCircuitBreaker;
import org.galenapost.daemon.peer.TcpPeerBus;
import org.galenapost.daemon.platform.HttpObjectStore;
import org.galenapost.daemon.platform.PlatformHttpClient;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.Settings;

/** Composes what daemons agree on. */
final class AgreementWiring {

  private AgreementWiring() {}

  static AgreementParts create(DaemonContext context, Mechanisms mechanisms) {
    Settings settings = context.settings();
    PlatformHttpClient client =
        new PlatformHttpClient(
            settings.platform(),
            new PlatformCircuitBreaker(context.clock()),
            context.eventLoops().group());
    HttpObjectStore store = new HttpObjectStore(client);
    TcpPeerBus bus =
        new TcpPeerBus(settings.daemon().id(), settings.peer(), context.eventLoops().group());
    context.metrics().registerGauge("galenapost.peer.sent.bytes", bus.traffic()::sentBytes);
    context.metrics().registerGauge("galenapost.peer.received.bytes", bus.traffic()::receivedBytes);
    MembershipParts membership = MembershipWiring.create(context, mechanisms, bus, store);
    ConfigurationWiring.Parts configuration =
        ConfigurationWiring.create(context, mechanisms, store, bus, membership.members());
    ConfigurationView view = membership.leavingServerMarker().apply(configuration.controller());
    List<Service> services = new ArrayList<>();
    services.add(client);
    services.add(bus);
    services.addAll(membership.services());
    services.addAll(configuration.services());
    services.add(
        OrderWiring.create(context, mechanisms, store, bus, configuration.controller(), view));
    return new AgreementParts(
        view,
        ActionWiring.create(context, mechanisms, store, bus),
        bus,
        () -> bus.ownAddress().port(),
        membership.members(),
        services);
  }
}
