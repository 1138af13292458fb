package org.galenapost.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads a settings file into a tree. */
final class SettingsFile {

  private static final ObjectMapper YAML =
      YAMLMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();

  private SettingsFile() {}

  static Either<List<SettingsFault>, JsonNode> parse(Path file) {
    try {
      JsonNode root = YAML.readTree(Files.readAllBytes(file));
      return root.isObject() ? Either.right(root) : Either.left(notAnObject(file, root));
    } catch (JsonProcessingException e) {
      return Either.left(malformedYaml(file, e));
    } catch (IOException e) {
      return Either.left(unreadable(file, e));
    }
  }

  private static List<SettingsFault> notAnObject(Path file, JsonNode root) {
    String found = root.isMissingNode() ? "nothing" : SectionReader.describe(root);
    return List.of(new SettingsFault(file.toString(), "(file)", "sections with keys", found));
  }

  private static List<SettingsFault> malformedYaml(Path file, JsonProcessingException error) {
    JsonLocation location = error.getLocation();
    String place = location == null ? "(file)" : "line " + location.getLineNr();
    String found = error.getOriginalMessage().lines().findFirst().orElse("no message");
    return List.of(new SettingsFault(file.toString(), place, "well-formed YAML", found));
  }

  private static List<SettingsFault> unreadable(Path file, IOException error) {
    String found = error.getClass().getSimpleName();
    return List.of(new SettingsFault(file.toString(), "(file)", "a readable file", found));
  }
}
