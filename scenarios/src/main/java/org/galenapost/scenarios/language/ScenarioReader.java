package org.galenapost.scenarios.language;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads scenario files in YAML. */
public final class ScenarioReader {

  private static final ObjectMapper MAPPER =
      YAMLMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private ScenarioReader() {}

  /**
   * Reads a scenario file.
   *
   * @throws IOException if the file cannot be read or is no valid scenario; the message names the
   *     line
   */
  public static Scenario read(Path file) throws IOException {
    return read(file, Scenario.class);
  }

  /**
   * Reads a YAML file of another type with the same mapping rules as a scenario.
   *
   * @throws IOException if the file cannot be read or does not match the type; the message names
   *     the line
   */
  public static <T> T read(Path file, Class<T> type) throws IOException {
    return MAPPER.readValue(file.toFile(), type);
  }

  /**
   * Lists the {@code .yaml} files of a folder, sorted by name.
   *
   * @throws IOException if the folder cannot be read
   */
  public static List<Path> list(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".yaml")).sorted().toList();
    }
  }
}
