package org.galenapost.daemon.settings;

import java.util.LinkedHashMap;
import java.util.Map;

/** Finds listeners that would bind the same address and port. */
final class PortConflicts {

  private static final String ANY_IPV4 = "0.0.0.0";
  private static final String ANY_IPV6 = "::";

  private PortConflicts() {}

  static void check(Settings settings, FaultList faults) {
    Map<String, SocketAddressSetting> listeners = new LinkedHashMap<>();
    listeners.put("caller", settings.caller().address());
    listeners.put("operator", settings.operator().address());
    listeners.put("peer", settings.peer().address());
    check(listeners, faults);
  }

  static void check(GatewaySettings settings, FaultList faults) {
    Map<String, SocketAddressSetting> listeners = new LinkedHashMap<>();
    listeners.put("caller", settings.caller().address());
    listeners.put("readiness", settings.readiness().address());
    listeners.put("operator", settings.operator().address());
    listeners.put("peer", settings.peer().address());
    check(listeners, faults);
  }

  private static void check(Map<String, SocketAddressSetting> listeners, FaultList faults) {
    Map<String, SocketAddressSetting> checked = new LinkedHashMap<>();
    listeners.forEach(
        (role, address) -> {
          checked.forEach(
              (otherRole, otherAddress) ->
                  checkPair(role, address, otherRole, otherAddress, faults));
          checked.put(role, address);
        });
  }

  private static void checkPair(
      String role,
      SocketAddressSetting address,
      String otherRole,
      SocketAddressSetting otherAddress,
      FaultList faults) {
    if (isConflict(address, otherAddress)) {
      String expected = "a port that no other listener uses";
      faults.add(role + ".port", expected, "the port of " + otherRole + ", " + otherAddress);
    }
  }

  private static boolean isConflict(
      SocketAddressSetting address, SocketAddressSetting otherAddress) {
    boolean isChosenBySystem = address.port() == 0;
    boolean isSameIp =
        address.ip().equals(otherAddress.ip()) || isAny(address.ip()) || isAny(otherAddress.ip());
    return !isChosenBySystem && address.port() == otherAddress.port() && isSameIp;
  }

  private static boolean isAny(String ip) {
    return ANY_IPV4.equals(ip) || ANY_IPV6.equals(ip);
  }
}
