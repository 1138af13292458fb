package org.galenapost.standins.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/** Reads and writes records as JSON with snake-case names. Unknown fields are ignored. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(new JavaTimeModule())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private Json() {}

  /** Returns a copy of the mapper, for callers that enable other features. */
  public static ObjectMapper newMapper() {
    return MAPPER.copy();
  }

  /**
   * Returns a value as JSON text.
   *
   * @throws IllegalArgumentException if the type has no JSON form
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "failed to write a value as JSON, type: " + value.getClass(), e);
    }
  }

  /**
   * Parses JSON text into a value.
   *
   * @throws JsonProcessingException if the text is not JSON or does not match the type
   */
  public static <T> T read(String json, Class<T> type) throws JsonProcessingException {
    return MAPPER.readValue(json, type);
  }
}
