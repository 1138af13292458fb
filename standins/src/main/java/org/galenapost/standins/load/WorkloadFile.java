package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Reads workload files. */
final class WorkloadFile {

  private static final ObjectMapper MAPPER =
      YAMLMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private WorkloadFile() {}

  /** Reads a workload without validating its values, or returns the errors of the file. */
  static Either<List<String>, Workload> read(Path file) {
    try {
      Workload workload = MAPPER.readValue(file.toFile(), Workload.class);
      return workload == null
          ? Either.left(List.of(file + ": expected a workload, but found nothing"))
          : Either.right(workload);
    } catch (JsonProcessingException e) {
      return Either.left(List.of(file + ": " + e.getMessage()));
    } catch (IOException e) {
      return Either.left(List.of(file + ": cannot be read: " + e.getMessage()));
    }
  }
}
