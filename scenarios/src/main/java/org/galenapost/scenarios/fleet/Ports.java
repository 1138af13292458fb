package org.galenapost.scenarios.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records the ports of each process, so that a restarted process listens on the same ports. */
final class Ports {

  /** The port of a process that has not been started yet; it listens on any free port. */
  static final int ANY = 0;

  private final Map<String, Integer> portsByName = new HashMap<>();

  /** Returns the recorded port of a process for a port role, or {@link #ANY} if there is none. */
  int get(String process, String role) {
    return portsByName.getOrDefault(process + "/" + role, ANY);
  }

  void remember(String process, String role, int port) {
    portsByName.put(process + "/" + role, port);
  }

  /**
   * Returns the addresses of all other processes for a port role, sorted and quoted for YAML.
   *
   * @param process the process to leave out
   * @param role the port role, such as {@code peer}
   */
  List<String> otherAddresses(String process, String role) {
    return portsByName.entrySet().stream()
        .filter(entry -> entry.getKey().endsWith("/" + role))
        .filter(entry -> !entry.getKey().equals(process + "/" + role))
        .map(entry -> "\"" + RunningFleet.LOOPBACK + ":" + entry.getValue() + "\"")
        .sorted()
        .toList();
  }
}
