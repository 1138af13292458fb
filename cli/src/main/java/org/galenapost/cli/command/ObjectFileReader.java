package org.galenapost.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.galenapost.cli.CommandFailure;
import org.galenapost.core.configuration.ConfigurationDocuments;
import org.galenapost.core.configuration.ConfigurationKind;

/** Reads a YAML file of configuration objects and lists all its faults at once. */
final class ObjectFileReader {

  private static final Set<String> FIELDS = Set.of("kind", "name", "expected_version", "value");

  private final String file;
  private final List<String> faults = new ArrayList<>();
  private final List<ObjectSpec> specs = new ArrayList<>();
  private final Set<String> labels = new HashSet<>();

  private ObjectFileReader(String file) {
    this.file = file;
  }

  /** Reads the objects in the order of the file, or all that is wrong with it. */
  static Either<CommandFailure, List<ObjectSpec>> read(String file) {
    ObjectFileReader reader = new ObjectFileReader(file);
    reader.readDocuments();
    if (reader.faults.isEmpty() && reader.specs.isEmpty()) {
      reader.fault("file", "at least one object", "none");
    }
    return reader.faults.isEmpty()
        ? Either.right(List.copyOf(reader.specs))
        : Either.left(CommandFailure.usageError(reader.faults));
  }

  private void readDocuments() {
    try (var input = Files.newBufferedReader(Path.of(file));
        MappingIterator<JsonNode> documents =
            new YAMLMapper().readerFor(JsonNode.class).readValues(input)) {
      int number = 1;
      while (documents.hasNextValue()) {
        readDocument("object " + number, documents.nextValue());
        number++;
      }
    } catch (IOException | UncheckedIOException e) {
      String message = e.getMessage() == null ? e.toString() : e.getMessage();
      fault("file", "readable YAML", message.lines().findFirst().orElse("nothing"));
    }
  }

  private void readDocument(String place, JsonNode document) {
    if (!document.isObject()) {
      fault(place, "an object with kind, name and value", document.getNodeType().name());
      return;
    }
    document
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!FIELDS.contains(field)) {
                fault(place + "." + field, "no such field", document.path(field).toString());
              }
            });
    Optional<ConfigurationKind> kind = ConfigurationKind.of(document.path("kind").asText());
    if (kind.isEmpty()) {
      String expected = "one of profile, workspace, server, model, placement";
      fault(place + ".kind", expected, document.path("kind").asText());
    }
    Optional<Long> version = version(place, document.path("expected_version"));
    kind.ifPresent(known -> readValue(place, known, version, document));
  }

  private Optional<Long> version(String place, JsonNode node) {
    if (node.isMissingNode()) {
      return Optional.empty();
    }
    if (!node.isIntegralNumber() || node.longValue() < 0) {
      fault(place + ".expected_version", "a version, or 0 for a new object", node.toString());
      return Optional.empty();
    }
    return Optional.of(node.longValue());
  }

  private void readValue(
      String place, ConfigurationKind kind, Optional<Long> version, JsonNode document) {
    String name = document.path("name").asText();
    String json = document.path("value").toString();
    ObjectSpec spec = new ObjectSpec(kind, name, version, json);
    if (!labels.add(spec.label())) {
      fault(place, "each object once", spec.label());
    }
    ConfigurationDocuments.faults(kind, name, json)
        .forEach(
            fault ->
                fault(
                    place + " (" + spec.label() + ") " + fault.field(),
                    fault.expected(),
                    fault.found()));
    specs.add(spec);
  }

  private void fault(String place, String expected, String found) {
    faults.add(file + ": " + place + ": expected " + expected + ", but found '" + found + "'");
  }
}
