package org.galenapost.daemon.gateway.run;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.instance.ServerInstance;

/**
 * Where one send goes.
 *
 * @param instance the server
 * @param copyTarget the server that shall keep a copy of the run's memory
 * @param copySource the server that keeps a copy of the earlier run's memory
 * @param isIsolated whether it runs apart from other suspects
 * @param expectedWaitMs the wait that the server was chosen for, in milliseconds
 */
record SendPlan(
    ServerInstance instance,
    Optional<ServerInstance> copyTarget,
    Optional<ServerInstance> copySource,
    boolean isIsolated,
    double expectedWaitMs) {

  SendPlan {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(copyTarget, "copyTarget");
    Objects.requireNonNull(copySource, "copySource");
  }
}
