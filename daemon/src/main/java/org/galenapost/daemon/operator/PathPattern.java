package org.galenapost.daemon.operator;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A path with variables, such as {@code /v1/config/{kind}/{name}}. */
final class PathPattern {

  private static final String SEPARATOR = "/";

  private final List<String> segments;

  PathPattern(String pattern) {
    this.segments = split(pattern);
  }

  /** Returns the decoded values of the variables, or empty if the path does not match. */
  Optional<Map<String, String>> match(String rawPath) {
    List<String> values = split(rawPath);
    if (values.size() != segments.size()) {
      return Optional.empty();
    }
    Map<String, String> variables = new LinkedHashMap<>();
    for (int index = 0; index < segments.size(); index++) {
      String segment = segments.get(index);
      String value = QueryStringDecoder.decodeComponent(values.get(index));
      if (isVariable(segment) && !value.isEmpty()) {
        variables.put(segment.substring(1, segment.length() - 1), value);
      } else if (!segment.equals(value)) {
        return Optional.empty();
      }
    }
    return Optional.of(variables);
  }

  private static boolean isVariable(String segment) {
    return segment.startsWith("{") && segment.endsWith("}");
  }

  private static List<String> split(String path) {
    return List.of(path.split(SEPARATOR, -1));
  }
}
