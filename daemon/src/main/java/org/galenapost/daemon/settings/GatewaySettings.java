package org.galenapost.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.rollout.RolloutSettings;

/**
 * The settings of one daemon that serves as a gateway.
 *
 * @param daemon the identity of the daemon
 * @param caller the listener for callers
 * @param readiness the listener for the readiness probes of the balancer
 * @param operator the listener for operators
 * @param peer the listener for other daemons
 * @param platform the platform's object API
 * @param limits the limits for all callers together
 * @param repeats the limits on retries
 * @param timings the timeouts and drain times
 * @param rollouts the bounds of roll-outs; without them the daemon takes part in none
 * @param placement what the choice of servers takes into account
 */
public record GatewaySettings(
    DaemonSettings daemon,
    CallerSettings caller,
    ReadinessSettings readiness,
    OperatorSettings operator,
    PeerSettings peer,
    PlatformSettings platform,
    GatewayLimits limits,
    RepeatSettings repeats,
    GatewayTimings timings,
    Optional<RolloutSettings> rollouts,
    PlacementSettings placement) {

  /**
   * Reads and validates a YAML file.
   *
   * @return the settings, or all faults of the file
   */
  public static Either<List<SettingsFault>, GatewaySettings> read(Path file) {
    return SettingsFile.parse(file).flatMap(root -> check(file.toString(), root));
  }

  private static Either<List<SettingsFault>, GatewaySettings> check(String file, JsonNode root) {
    FaultList faults = new FaultList(file);
    GatewaySettings settings = bind(new SectionReader("", root, faults));
    PortConflicts.check(settings, faults);
    return faults.isEmpty() ? Either.right(settings) : Either.left(faults.toList());
  }

  private static GatewaySettings bind(SectionReader root) {
    GatewaySettings settings =
        new GatewaySettings(
            root.section("daemon", DaemonSettings::bind),
            root.section("caller", CallerSettings::bind),
            root.section("readiness", ReadinessSettings::bind),
            root.section("operator", OperatorSettings::bind),
            root.section("peer", PeerSettings::bind),
            root.section("platform", PlatformSettings::bindForGateway),
            root.section("limits", GatewayLimits::bind),
            root.section("repeats", RepeatSettings::bind),
            root.section("timings", GatewayTimings::bind),
            root.section("rollouts", RolloutSection::bind),
            root.section("placement", PlacementSettings::bind));
    root.rejectUnknownKeys();
    return settings;
  }
}
