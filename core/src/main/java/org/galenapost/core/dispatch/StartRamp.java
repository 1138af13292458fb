package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.time.RandomSource;

/**
 * Leaves servers that have just appeared out of a growing part of the choices. Such a server is the
 * least used one to all daemons at the same moment, before any of them learns what the others sent.
 */
final class StartRamp {

  /** Several delays of use reports, and less than the time between two crashes of a server. */
  private static final Duration RAMP = Duration.ofSeconds(1);

  /** Of a cell of twelve daemons that send at the same moment, about two choose the server. */
  private static final double INITIAL_SHARE = 0.15;

  private final Function<InstanceKey, Duration> sinceAppeared;
  private final RandomSource random;

  /**
   * Creates a ramp.
   *
   * @param sinceAppeared returns for how long a server has been known
   * @param random decides whether a server takes part in a choice
   */
  StartRamp(Function<InstanceKey, Duration> sinceAppeared, RandomSource random) {
    this.sinceAppeared = sinceAppeared;
    this.random = random;
  }

  /**
   * Returns the servers that take part in a choice; all of them if none would, or if most have just
   * appeared, as to a daemon that has just started.
   */
  List<ServerInstance> admitted(List<ServerInstance> servers) {
    long newServers = servers.stream().filter(server -> isNew(server.key())).count();
    if (newServers == 0 || 2 * newServers > servers.size()) {
      return servers;
    }
    List<ServerInstance> admitted =
        servers.stream().filter(server -> isAdmitted(server.key())).toList();
    return admitted.isEmpty() ? servers : admitted;
  }

  private boolean isNew(InstanceKey server) {
    return sinceAppeared.apply(server).compareTo(RAMP) < 0;
  }

  private boolean isAdmitted(InstanceKey server) {
    if (!isNew(server)) {
      return true;
    }
    double progress = (double) sinceAppeared.apply(server).toNanos() / RAMP.toNanos();
    return random.nextDouble() < INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
  }
}
