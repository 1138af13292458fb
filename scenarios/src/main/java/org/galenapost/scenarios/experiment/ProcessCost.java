package org.galenapost.scenarios.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;

/**
 * The resources used by a daemon since its start.
 *
 * @param cpu CPU time
 * @param residentBytes resident memory
 * @param peerBytes bytes sent to and received from other daemons
 */
record ProcessCost(Duration cpu, long residentBytes, double peerBytes) {

  private static final String RESIDENT = "VmRSS:";
  private static final long KIB = 1024;

  /** Reads the current resource use of a daemon. */
  static ProcessCost of(RunningFleet fleet, ControlClient control, String daemon)
      throws IOException {
    ProcessHandle.Info info = fleet.process(daemon).info();
    String metrics = control.get(fleet.operatorUrl(daemon) + "/metrics").body();
    double peerBytes =
        sumSamples(metrics, "galenapost_peer_sent_bytes")
            + sumSamples(metrics, "galenapost_peer_received_bytes");
    Duration cpu = info.totalCpuDuration().orElse(Duration.ZERO);
    return new ProcessCost(cpu, residentBytes(fleet.process(daemon).pid()), peerBytes);
  }

  /** Returns the current value of a metric of a daemon. */
  static double gauge(RunningFleet fleet, ControlClient control, String daemon, String name) {
    return sumSamples(control.get(fleet.operatorUrl(daemon) + "/metrics").body(), name);
  }

  private static double sumSamples(String metrics, String name) {
    return metrics
        .lines()
        .filter(line -> line.startsWith(name))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  private static long residentBytes(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith(RESIDENT))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * KIB)
        .findFirst()
        .orElse(0);
  }
}
