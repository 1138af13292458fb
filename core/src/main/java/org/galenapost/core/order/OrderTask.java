package org.galenapost.core.order;

import java.util.Objects;
import org.galenapost.core.configuration.Placement;
import org.galenapost.core.fleet.BackendServer;

/**
 * The task to bring one engine to its wanted placement.
 *
 * @param server the engine
 * @param placement the wanted placement
 * @param placementVersion the version of the placement object on the platform
 */
public record OrderTask(BackendServer server, Placement placement, long placementVersion) {

  private static final String PREFIX = "engine.";

  /** Checks that server and placement are not null. */
  public OrderTask {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(placement, "placement");
  }

  /** Returns the name of the task, which is also the name of its lease. */
  public String name() {
    return nameFor(server.id());
  }

  /** Returns the name of the task for the engine with this id. */
  public static String nameFor(String serverId) {
    return PREFIX + serverId;
  }
}
