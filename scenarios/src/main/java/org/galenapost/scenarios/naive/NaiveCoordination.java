package org.galenapost.scenarios.naive;

import java.util.Map;
import java.util.TreeMap;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.drain.DrainNoticeSender;
import org.galenapost.core.membership.MembershipFactory;
import org.galenapost.core.order.EngineControl;
import org.galenapost.core.order.OrderLeases;
import org.galenapost.core.platform.HostDirectory;
import org.galenapost.daemon.wiring.Mechanisms;

/** Naive versions of the mechanisms by which daemons coordinate. */
final class NaiveCoordination {

  private NaiveCoordination() {}

  /** Returns, by scenario name, a set of mechanisms in which the named one is naive. */
  static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    Map<String, Mechanisms> mechanisms = new TreeMap<>();
    mechanisms.put(
        "claims",
        standard.with(ActionGate.class, (original, context) -> new UnclaimedActionGate()));
    mechanisms.put(
        "configuration-exchange",
        standard.with(
            ConfigurationHolder.class,
            (original, context) -> new StartupConfigurationHolder(original)));
    mechanisms.put(
        "fencing",
        standard.with(OrderLeases.class, (original, context) -> new UnleasedOrderLeases()));
    mechanisms.put(
        "state-comparison",
        standard.with(
            EngineControl.class, (original, context) -> new CachedEngineControl(original)));
    mechanisms.put(
        "heartbeats",
        standard.with(
            MembershipFactory.class, (original, context) -> self -> new HostListMembership(self)));
    mechanisms.put(
        "drains",
        standard
            .with(
                ConfigurationHolder.class,
                (original, context) -> new StartupConfigurationHolder(original))
            .with(DrainNoticeSender.class, (original, context) -> new LocalDrainNoticeSender()));
    mechanisms.put(
        "host-list",
        standard.with(
            HostDirectory.class, (original, context) -> new FixedHostDirectory(original)));
    return mechanisms;
  }
}
