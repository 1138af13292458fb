package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.daemon.service.Service;

/**
 * The parts whose state the daemons share: configuration, action claims and membership.
 *
 * @param configuration the configuration in force
 * @param actions claims requests that are not idempotent, so that each runs at most once
 * @param peers the message bus to the other daemons
 * @param peerPort returns the port of the peer listener, once it listens
 * @param members returns the membership records of the other daemons
 * @param services the services to start, in order
 */
public record AgreementParts(
    ConfigurationView configuration,
    ActionGate actions,
    PeerBus peers,
    IntSupplier peerPort,
    Supplier<Collection<MemberRecord>> members,
    List<Service> services) {

  /** Copies the services. */
  public AgreementParts {
    services = List.copyOf(services);
  }
}
