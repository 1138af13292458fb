package org.galenapost.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of one daemon.
 *
 * @param daemon who the daemon is
 * @param caller the listener for callers
 * @param operator the listener for operators
 * @param peer the listener for other daemons
 * @param platform the platform's object API
 * @param resume how resume handles are authenticated
 * @param limits what callers may use
 * @param timings how long the daemon waits
 */
public record Settings(
    DaemonSettings daemon,
    CallerSettings caller,
    OperatorSettings operator,
    PeerSettings peer,
    PlatformSettings platform,
    ResumeSettings resume,
    LimitSettings limits,
    TimingSettings timings) {

  /**
   * Reads and checks a YAML file.
   *
   * @return the settings, or every fault of the file
   */
  public static Either<List<SettingsFault>, Settings> read(Path file) {
    return SettingsFile.parse(file).flatMap(root -> check(file.toString(), root));
  }

  private static Either<List<SettingsFault>, Settings> check(String file, JsonNode root) {
    FaultList faults = new FaultList(file);
    Settings settings = bind(new SectionReader("", root, faults));
    PortConflicts.check(settings, faults);
    return faults.isEmpty() ? Either.right(settings) : Either.left(faults.toList());
  }

  private static Settings bind(SectionReader root) {
    Settings settings =
        new Settings(
            root.section("daemon", DaemonSettings::bind),
            root.section("caller", CallerSettings::bind),
            root.section("operator", OperatorSettings::bind),
            root.section("peer", PeerSettings::bind),
            root.section("platform", PlatformSettings::bind),
            root.section("resume", ResumeSettings::bind),
            root.section("limits", LimitSettings::bind),
            root.section("timings", TimingSettings::bind));
    root.rejectUnknownKeys();
    return settings;
  }
}
