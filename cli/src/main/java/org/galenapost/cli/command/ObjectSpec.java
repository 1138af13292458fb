package org.galenapost.cli.command;

import java.util.Optional;
import org.galenapost.cli.OperatorClient;
import org.galenapost.core.configuration.ConfigurationKind;

/**
 * A configuration object that an operator requests.
 *
 * @param kind the kind of the object
 * @param name the name of the object
 * @param expectedVersion the version that must be current for the write to succeed, if given
 * @param json the value as JSON
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
