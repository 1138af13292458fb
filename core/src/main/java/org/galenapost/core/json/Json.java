package org.galenapost.core.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vavr.control.Either;

/** Reads and writes records as JSON text with snake-case names. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(new JavaTimeModule())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private Json() {}

  /** Returns a copy of the mapper, for a caller that needs to configure other features. */
  public static ObjectMapper newMapper() {
    return MAPPER.copy();
  }

  /**
   * Writes a value as JSON text.
   *
   * @throws IllegalArgumentException if the type cannot be serialized
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "type cannot be serialized to JSON: " + value.getClass(), e);
    }
  }

  /** Reads a value from JSON text, or returns a one-line description of the parse error. */
  public static <T> Either<String, T> read(String json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json, type);
      return value == null
          ? Either.left("expected a document, but found null")
          : Either.right(value);
    } catch (JsonProcessingException e) {
      return Either.left(e.getOriginalMessage());
    }
  }
}
