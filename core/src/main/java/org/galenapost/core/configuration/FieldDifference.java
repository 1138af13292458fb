package org.galenapost.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.galenapost.core.json.Json;

/**
 * A field in which the rejected write differs from the object in force.
 *
 * @param field the name of the field
 * @param yours the JSON value of the rejected write, the text {@code null} if absent
 * @param current the JSON value in force, the text {@code null} if absent
 */
public record FieldDifference(String field, String yours, String current) {

  private static final String ABSENT = "null";

  /** Compares two JSON objects field by field, in the order of the field names. */
  static List<FieldDifference> between(String yours, String current) {
    JsonNode yourNode = parse(yours);
    JsonNode currentNode = parse(current);
    Set<String> fields = new TreeSet<>();
    yourNode.fieldNames().forEachRemaining(fields::add);
    currentNode.fieldNames().forEachRemaining(fields::add);
    List<FieldDifference> differences = new ArrayList<>();
    for (String field : fields) {
      String yourValue = text(yourNode.path(field));
      String currentValue = text(currentNode.path(field));
      if (!yourValue.equals(currentValue)) {
        differences.add(new FieldDifference(field, yourValue, currentValue));
      }
    }
    return differences;
  }

  /** Returns whether two texts represent the same JSON value. */
  static boolean isSameJson(String one, String other) {
    return parse(one).equals(parse(other));
  }

  private static JsonNode parse(String json) {
    return Json.read(json, JsonNode.class).getOrElse(() -> MissingNode.getInstance());
  }

  private static String text(JsonNode node) {
    return node.isMissingNode() ? ABSENT : node.toString();
  }
}
