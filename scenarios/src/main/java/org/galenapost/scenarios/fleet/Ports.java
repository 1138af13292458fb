package org.galenapost.scenarios.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Remembers the ports of each process, so that a restarted one takes them again. */
final class Ports {

  /** The port of a process that has not listened yet: any free one. */
  static final int ANY = 0;

  private final Map<String, Integer> portsByName = new HashMap<>();

  int get(String process, String role) {
    return portsByName.getOrDefault(process + "/" + role, ANY);
  }

  void remember(String process, String role, int port) {
    portsByName.put(process + "/" + role, port);
  }

  /** Returns the addresses that other processes have taken for a role, quoted for YAML. */
  List<String> otherAddresses(String process, String role) {
    return portsByName.entrySet().stream()
        .filter(entry -> entry.getKey().endsWith("/" + role))
        .filter(entry -> !entry.getKey().equals(process + "/" + role))
        .map(entry -> "\"" + RunningFleet.LOOPBACK + ":" + entry.getValue() + "\"")
        .sorted()
        .toList();
  }
}
