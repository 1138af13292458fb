package org.galenapost.scenarios.language;

import java.util.List;
import java.util.Optional;

/**
 * The processes of a scenario and the initial content of the platform.
 *
 * @param daemons the daemons
 * @param engines the model engines
 * @param services the plain services
 * @param profiles the initial profiles, in addition to one named {@code default}
 * @param workspaces the initial workspaces; a single one named {@code clerks} if absent
 * @param platformArguments additional command line arguments of the platform stand-in
 */
public record FleetSpec(
    List<DaemonSpec> daemons,
    List<EngineSpec> engines,
    Optional<List<ServiceSpec>> services,
    Optional<List<ProfileSpec>> profiles,
    Optional<List<WorkspaceSpec>> workspaces,
    Optional<List<String>> platformArguments) {

  /**
   * A daemon.
   *
   * @param platformLink whether the daemon reaches the platform through its own link
   * @param startLater whether the daemon stays stopped until a {@code start} step
   */
  public record DaemonSpec(
      String id,
      Optional<String> dataCentre,
      Optional<Boolean> platformLink,
      Optional<Boolean> startLater) {}

  /**
   * A model engine.
   *
   * @param link whether the daemons reach the engine through a link
   * @param startLater whether the engine stays stopped until a {@code start} step
   * @param arguments additional command line arguments of the engine stand-in
   */
  public record EngineSpec(
      String id,
      List<String> models,
      Optional<String> dataCentre,
      Optional<Boolean> link,
      Optional<Boolean> checksFencing,
      Optional<Boolean> startLater,
      Optional<List<String>> arguments) {}

  /** A process that runs a plain service. */
  public record ServiceSpec(
      String id, String service, Optional<String> dataCentre, Optional<Boolean> link) {}

  /** A profile; absent components get default values. */
  public record ProfileSpec(
      String name,
      Optional<Boolean> idempotent,
      Optional<Long> deadlineMs,
      Optional<String> recovery,
      Optional<String> rerun,
      Optional<String> urgency) {

    /** Returns a copy with the given recovery policy, or this profile if none is given. */
    public ProfileSpec withRecovery(Optional<String> newRecovery) {
      return newRecovery
          .map(
              policy ->
                  new ProfileSpec(
                      name, idempotent, deadlineMs, Optional.of(policy), rerun, urgency))
          .orElse(this);
    }
  }

  /** A workspace with its bearer key. */
  public record WorkspaceSpec(
      String name, String key, Optional<Integer> weight, Optional<Integer> maxInFlight) {}
}
