package org.galenapost.cli.command;

import java.util.Optional;
import org.galenapost.cli.OperatorClient;
import org.galenapost.core.configuration.ConfigurationKind;

/**
 * A configuration object that an operator wants in force.
 *
 * @param kind the kind
 * @param name the name
 * @param expectedVersion the version that it must still have, if the operator says so
 * @param json the value
 */
record ObjectSpec(
    ConfigurationKind kind, String name, Optional<Long> expectedVersion, String json) {

  String label() {
    return kind.wireName() + " " + name;
  }

  String path() {
    return path(kind, name);
  }

  static String path(ConfigurationKind kind, String name) {
    return "/v1/config/" + kind.wireName() + "/" + OperatorClient.urlEncode(name);
  }
}
