package org.galenapost.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.json.Json;

/**
 * A configuration object as the operator port returns it.
 *
 * @param kind the kind of the object
 * @param name the name of the object
 * @param version the version that the next write must state as expected version
 * @param value the value, JSON null if the object was deleted
 */
public record ObjectDocument(String kind, String name, long version, JsonNode value) {

  static ObjectDocument of(ConfigurationRecord record) {
    JsonNode value =
        record
            .json()
            .map(json -> Json.read(json, JsonNode.class).getOrElse(NullNode::getInstance))
            .orElseGet(NullNode::getInstance);
    return new ObjectDocument(record.kind().wireName(), record.name(), record.version(), value);
  }
}
