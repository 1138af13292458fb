package org.galenapost.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Reads the fields of one JSON object and collects every fault instead of stopping at one. */
final class FieldReader {

  private static final String NOTHING = "nothing";

  private final JsonNode node;
  private final String prefix;
  private final List<ConfigurationFault> faults;
  private final Set<String> knownFields = new HashSet<>();

  FieldReader(JsonNode node) {
    this(node, "", new ArrayList<>());
  }

  private FieldReader(JsonNode node, String prefix, List<ConfigurationFault> faults) {
    this.node = node;
    this.prefix = prefix;
    this.faults = faults;
  }

  String text(String field) {
    Optional<String> value = optionalText(field);
    if (value.isEmpty() && !node.hasNonNull(field)) {
      addFault(field, "a text", NOTHING);
    }
    return value.orElse("");
  }

  Optional<String> optionalText(String field) {
    knownFields.add(field);
    JsonNode value = node.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return Optional.empty();
    }
    if (!value.isTextual() || value.textValue().isBlank()) {
      addFault(field, "a text that is not blank", value.toString());
      return Optional.empty();
    }
    return Optional.of(value.textValue());
  }

  long number(String field, long min, long max) {
    knownFields.add(field);
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || value.longValue() < min || value.longValue() > max) {
      String found = value.isMissingNode() ? NOTHING : value.toString();
      addFault(field, "a whole number from " + min + " to " + max, found);
      return min;
    }
    return value.longValue();
  }

  boolean flag(String field) {
    knownFields.add(field);
    JsonNode value = node.path(field);
    if (!value.isBoolean()) {
      addFault(field, "true or false", value.isMissingNode() ? NOTHING : value.toString());
    }
    return value.asBoolean();
  }

  /** Reads the name of an enum constant in lower case with hyphens. */
  <E extends Enum<E>> E choice(String field, Class<E> type) {
    String found = text(field);
    List<String> names = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      String name = wireName(constant);
      if (name.equals(found)) {
        return constant;
      }
      names.add(name);
    }
    if (!found.isEmpty()) {
      addFault(field, "one of " + String.join(", ", names), found);
    }
    return type.getEnumConstants()[0];
  }

  List<String> texts(String field) {
    List<String> values = new ArrayList<>();
    for (JsonNode element : array(field)) {
      if (element.isTextual() && !element.textValue().isBlank()) {
        values.add(element.textValue());
      } else {
        addFault(field, "texts that are not blank", element.toString());
      }
    }
    return values;
  }

  List<FieldReader> objects(String field) {
    List<FieldReader> readers = new ArrayList<>();
    JsonNode elements = array(field);
    for (int i = 0; i < elements.size(); i++) {
      String path = prefix + field + "[" + i + "].";
      readers.add(new FieldReader(elements.get(i), path, faults));
    }
    return readers;
  }

  void addFault(String field, String expected, String found) {
    faults.add(new ConfigurationFault(prefix + field, expected, found));
  }

  void rejectUnknownFields() {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!knownFields.contains(field)) {
                addFault(field, "no such field", node.path(field).toString());
              }
            });
  }

  List<ConfigurationFault> faults() {
    return List.copyOf(faults);
  }

  static String wireName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private JsonNode array(String field) {
    knownFields.add(field);
    JsonNode value = node.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return JsonNodeFactory.instance.arrayNode();
    }
    if (!value.isArray()) {
      addFault(field, "a list", value.toString());
      return JsonNodeFactory.instance.arrayNode();
    }
    return value;
  }
}
