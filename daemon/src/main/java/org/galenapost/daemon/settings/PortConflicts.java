package org.galenapost.daemon.settings;

import java.util.LinkedHashMap;
import java.util.Map;

/** Finds listeners that would bind the same port. */
final class PortConflicts {

  private static final String ANY_IPV4 = "0.0.0.0";
  private static final String ANY_IPV6 = "::";

  private PortConflicts() {}

  static void check(Settings settings, FaultList faults) {
    Map<String, SocketAddressSetting> listeners = new LinkedHashMap<>();
    listeners.put("caller", settings.caller().address());
    listeners.put("operator", settings.operator().address());
    listeners.put("peer", settings.peer().address());
    Map<String, SocketAddressSetting> earlier = new LinkedHashMap<>();
    listeners.forEach(
        (role, address) -> {
          earlier.forEach((other, taken) -> checkPair(role, address, other, taken, faults));
          earlier.put(role, address);
        });
  }

  private static void checkPair(
      String role,
      SocketAddressSetting address,
      String other,
      SocketAddressSetting taken,
      FaultList faults) {
    if (isConflict(address, taken)) {
      String expected = "a port that no other listener uses";
      faults.add(role + ".port", expected, "the port of " + other + ", " + taken);
    }
  }

  private static boolean isConflict(SocketAddressSetting one, SocketAddressSetting other) {
    boolean isChosenBySystem = one.port() == 0;
    boolean isSameIp = one.ip().equals(other.ip()) || isAny(one.ip()) || isAny(other.ip());
    return !isChosenBySystem && one.port() == other.port() && isSameIp;
  }

  private static boolean isAny(String ip) {
    return ANY_IPV4.equals(ip) || ANY_IPV6.equals(ip);
  }
}
