package org.galenapost.scenarios.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.galenapost.scenarios.language.FleetSpec;

/** Writes the YAML settings file of a daemon. */
final class DaemonSettingsFile {

  static final String OPERATOR_TOKEN = "operator-token-of-the-scenarios";

  private static final String DEFAULT_DATA_CENTRE = "dc1";
  private static final String TEMPLATE =
      """
      daemon: {id: %s, data_centre: %s, event_loop_threads: 2}
      caller: {ip: 127.0.0.1, port: %d}
      operator: {ip: 127.0.0.1, port: %d, token: %s}
      peer: {ip: 127.0.0.1, port: %d, secret: peer-secret-of-the-scenarios, seeds: [%s]}
      platform: {address: "127.0.0.1:%d", request_timeout_ms: 1500, watch_wait_ms: 5000}
      resume:
        keys: [{id: 1, secret: resume-secret-of-the-scenarios-0123456789}]
      limits: {max_connections: 20000}
      timings: {drain_notice_ms: 1000, drain_limit_ms: 60000}
      """;

  private DaemonSettingsFile() {}

  static String dataCentre(FleetSpec.DaemonSpec daemon) {
    return daemon.dataCentre().orElse(DEFAULT_DATA_CENTRE);
  }

  /**
   * Writes the settings file {@code <id>.yaml} of a daemon.
   *
   * @param folder the folder to write the file to
   * @param daemon the daemon to configure
   * @param ports the ports of all processes; a daemon without a recorded port listens on any free
   *     one
   * @param platformPort the loopback port through which the daemon reaches the platform
   * @return the path of the written file
   * @throws UncheckedIOException if the file cannot be written
   */
  static Path write(Path folder, FleetSpec.DaemonSpec daemon, Ports ports, int platformPort) {
    String id = daemon.id();
    String text =
        TEMPLATE.formatted(
            id,
            dataCentre(daemon),
            ports.get(id, "caller"),
            ports.get(id, "operator"),
            OPERATOR_TOKEN,
            ports.get(id, "peer"),
            String.join(", ", ports.otherAddresses(id, "peer")),
            platformPort);
    Path file = folder.resolve(id + ".yaml");
    try {
      return Files.writeString(file, text);
    } catch (IOException e) {
      throw new UncheckedIOException("settings of " + id + " cannot be written", e);
    }
  }
}
