package org.galenapost.core.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Set;

/**
 * Reads the version that operators give to a configuration in its content. Unlike the version of
 * the stored object, it still tells which of two configurations is newer after the store was
 * restored from a copy.
 */
final class ContentVersions {

  /** The content version of an object without one. */
  static final long NONE = 0;

  private static final Set<ConfigurationKind> VERSIONED_KINDS = Set.of(ConfigurationKind.GATEWAY);
  private static final String FIELD = "version";
  private static final JsonFactory JSON = new JsonFactory();

  private ContentVersions() {}

  /** Returns whether the content of a kind states its version. */
  static boolean isVersioned(ConfigurationKind kind) {
    return VERSIONED_KINDS.contains(kind);
  }

  /** Returns the content version of a record, {@link #NONE} if its content states none. */
  static long of(ConfigurationRecord record) {
    return isVersioned(record.kind())
        ? record.json().map(ContentVersions::read).orElse(NONE)
        : NONE;
  }

  private static long read(String json) {
    try (JsonParser parser = JSON.createParser(json)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return NONE;
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean isVersion = parser.currentName().equals(FIELD);
        JsonToken value = parser.nextToken();
        if (isVersion) {
          return value == JsonToken.VALUE_NUMBER_INT ? parser.getLongValue() : NONE;
        }
        parser.skipChildren();
      }
      return NONE;
    } catch (IOException e) {
      // A document that cannot be read is reported when it is applied.
      return NONE;
    }
  }
}
