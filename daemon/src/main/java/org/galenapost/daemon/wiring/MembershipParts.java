package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.daemon.service.Service;

/**
 * The parts that track the daemons and hosts of the fleet.
 *
 * @param members returns the membership records of the other daemons
 * @param leavingServerMarker returns a view of a configuration that marks leaving backend servers
 * @param services the services to start, in order, once the peer bus listens
 */
record MembershipParts(
    Supplier<Collection<MemberRecord>> members,
    UnaryOperator<ConfigurationView> leavingServerMarker,
    List<Service> services) {

  MembershipParts {
    services = List.copyOf(services);
  }
}
