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

/** Naive versions of what daemons agree on. */
final class NaiveCoordination {

  private NaiveCoordination() {}

  /** Returns the mechanisms with one replaced, by its name. */
  static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    Map<String, Mechanisms> mechanisms = new TreeMap<>();
    mechanisms.put(
        "claims", standard.with(ActionGate.class, (shipped, context) -> new UnclaimedActionGate()));
    mechanisms.put(
        "configuration-exchange",
        standard.with(
            ConfigurationHolder.class,
            (shipped, context) -> new StartupConfigurationHolder(shipped)));
    mechanisms.put(
        "fencing",
        standard.with(OrderLeases.class, (shipped, context) -> new UnleasedOrderLeases()));
    mechanisms.put(
        "state-comparison",
        standard.with(EngineControl.class, (shipped, context) -> new CachedEngineControl(shipped)));
    mechanisms.put(
        "heartbeats",
        standard.with(
            MembershipFactory.class, (shipped, context) -> self -> new HostListMembership(self)));
    mechanisms.put(
        "drains",
        standard
            .with(
                ConfigurationHolder.class,
                (shipped, context) -> new StartupConfigurationHolder(shipped))
            .with(DrainNoticeSender.class, (shipped, context) -> new LocalDrainNoticeSender()));
    mechanisms.put(
        "host-list",
        standard.with(HostDirectory.class, (shipped, context) -> new FixedHostDirectory(shipped)));
    return mechanisms;
  }
}
