package org.galenapost.daemon.wiring;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.daemon.service.Service;

/**
 * What knows the hosts of the fleet.
 *
 * @param members what is known of the other daemons
 * @param leavingServerMarker shows a configuration with its leaving backend servers marked
 * @param services what has to be started, in order, once the message bus listens
 */
record MembershipParts(
    Supplier<Collection<MemberRecord>> members,
    UnaryOperator<ConfigurationView> leavingServerMarker,
    List<Service> services) {

  MembershipParts {
    services = List.copyOf(services);
  }
}
