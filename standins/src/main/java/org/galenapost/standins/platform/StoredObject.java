package org.galenapost.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object in the format of the API.
 *
 * @param kind the object kind
 * @param name the name, unique within the kind
 * @param version the revision of its last write
 * @param value the value
 */
public record StoredObject(String kind, String name, long version, JsonNode value) {}
