package org.galenapost.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.util.NetUtil;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads the keys of one section. For a faulty key it records the fault and returns a valid
 * substitute, so that the rest of the file is still checked.
 */
final class SectionReader {

  private static final String PLACEHOLDER_IP = "127.0.0.1";
  private static final int MAX_PORT = 65_535;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final String path;
  private final JsonNode node;
  private final FaultList faults;
  private final Set<String> knownKeys = new TreeSet<>();

  SectionReader(String path, JsonNode node, FaultList faults) {
    this.path = path;
    this.node = node;
    this.faults = faults;
  }

  <T> T section(String key, Function<SectionReader, T> binder) {
    JsonNode child = child(key);
    boolean isUsable = child.isMissingNode() || child.isObject();
    if (!isUsable) {
      addFault(key, "a section with keys", describe(child));
    }
    return bindSection(pathOf(key), isUsable ? child : MissingNode.getInstance(), binder);
  }

  <T> Optional<T> optionalSection(String key, Function<SectionReader, T> binder) {
    return child(key).isMissingNode() ? Optional.empty() : Optional.of(section(key, binder));
  }

  <T> List<T> sections(String key, Function<SectionReader, T> binder) {
    List<T> bound = new ArrayList<>();
    int index = 0;
    for (JsonNode item : items(key)) {
      bound.add(bindSection(pathOf(key) + "[" + index + "]", item, binder));
      index++;
    }
    return bound;
  }

  private <T> T bindSection(String sectionPath, JsonNode child, Function<SectionReader, T> binder) {
    SectionReader reader = new SectionReader(sectionPath, child, faults);
    T section = binder.apply(reader);
    reader.rejectUnknownKeys();
    return section;
  }

  String text(String key) {
    JsonNode child = child(key);
    if (child.isTextual() && !child.textValue().isBlank()) {
      return child.textValue();
    }
    addFault(key, "a non-blank string", describe(child));
    return key;
  }

  /** Reads a secret. A fault states only its length, never its value. */
  String secret(String key, int minLength) {
    JsonNode child = child(key);
    if (child.isTextual() && child.textValue().length() >= minLength) {
      return child.textValue();
    }
    String found = child.isTextual() ? child.textValue().length() + " characters" : typeOf(child);
    addFault(key, "a secret of at least " + minLength + " characters", found);
    return "-".repeat(minLength);
  }

  String ip(String key) {
    JsonNode child = child(key);
    if (child.isTextual() && isIpLiteral(child.textValue())) {
      return child.textValue();
    }
    addFault(key, "an IP literal, not a host name", describe(child));
    return PLACEHOLDER_IP;
  }

  int port(String key) {
    return (int) number(key, Optional.empty(), 0, MAX_PORT, "a port");
  }

  int count(String key, int defaultValue, int min, int max) {
    return (int) number(key, Optional.of((long) defaultValue), min, max, "a whole number");
  }

  int requiredCount(String key, int min, int max) {
    return (int) number(key, Optional.empty(), min, max, "a whole number");
  }

  double decimal(String key, double defaultValue, double min, double max) {
    JsonNode child = child(key);
    if (child.isMissingNode()) {
      return defaultValue;
    }
    if (child.isNumber() && child.doubleValue() >= min && child.doubleValue() <= max) {
      return child.doubleValue();
    }
    addFault(key, "a number from " + min + " to " + max, describe(child));
    return defaultValue;
  }

  boolean flag(String key, boolean defaultValue) {
    JsonNode child = child(key);
    if (child.isMissingNode() || child.isBoolean()) {
      return child.asBoolean(defaultValue);
    }
    addFault(key, "true or false", describe(child));
    return defaultValue;
  }

  /** Reads a time in milliseconds; a fraction is rounded. */
  Duration durationMs(String key, Duration defaultValue, Duration min, Duration max) {
    JsonNode child = child(key);
    if (child.isMissingNode()) {
      return defaultValue;
    }
    boolean isValid =
        child.isNumber()
            && child.doubleValue() >= min.toMillis()
            && child.doubleValue() <= max.toMillis();
    if (isValid) {
      return Duration.ofMillis(Math.round(child.doubleValue()));
    }
    String expected = "a time in milliseconds from " + min.toMillis() + " to " + max.toMillis();
    addFault(key, expected, describe(child));
    return defaultValue;
  }

  /** Reads a time in seconds, which may have a fraction. */
  Duration durationSeconds(String key, Duration defaultValue, Duration min, Duration max) {
    double seconds = decimal(key, toSeconds(defaultValue), toSeconds(min), toSeconds(max));
    return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
  }

  private static double toSeconds(Duration duration) {
    return (double) duration.toMillis() / MILLIS_PER_SECOND;
  }

  private long number(
      String key, Optional<Long> defaultValue, long min, long max, String description) {
    JsonNode child = child(key);
    if (child.isMissingNode() && defaultValue.isPresent()) {
      return defaultValue.get();
    }
    if (child.canConvertToLong() && child.isIntegralNumber()) {
      long value = child.longValue();
      if (value >= min && value <= max) {
        return value;
      }
    }
    addFault(key, description + " from " + min + " to " + max, describe(child));
    return defaultValue.orElse(min);
  }

  /** Reads the address of a listener: {@code address}, or {@code ip} and {@code port}. */
  SocketAddressSetting listener() {
    return child("address").isMissingNode()
        ? new SocketAddressSetting(ip("ip"), port("port"))
        : address("address");
  }

  SocketAddressSetting address(String key) {
    return parseAddress(pathOf(key), child(key));
  }

  List<SocketAddressSetting> addresses(String key) {
    List<SocketAddressSetting> addresses = new ArrayList<>();
    int index = 0;
    for (JsonNode item : items(key)) {
      addresses.add(parseAddress(pathOf(key) + "[" + index + "]", item));
      index++;
    }
    return addresses;
  }

  private SocketAddressSetting parseAddress(String addressPath, JsonNode child) {
    Optional<SocketAddressSetting> address = SocketAddressSetting.parse(child.asText());
    if (address.isEmpty()) {
      faults.add(addressPath, "an IP literal and a port, such as 10.0.0.1:9000", describe(child));
    }
    return address.orElse(new SocketAddressSetting(PLACEHOLDER_IP, 0));
  }

  Path file(String key) {
    Path file = Path.of(text(key));
    if (!child(key).isMissingNode() && !file.toFile().canRead()) {
      addFault(key, "a readable file", describe(child(key)));
    }
    return file;
  }

  Optional<Path> optionalFile(String key) {
    return child(key).isMissingNode() ? Optional.empty() : Optional.of(file(key));
  }

  void rejectUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!knownKeys.contains(key)) {
                addFault(key, "one of " + String.join(", ", knownKeys), "an unknown key");
              }
            });
  }

  void addFault(String key, String expected, String found) {
    faults.add(pathOf(key), expected, found);
  }

  private Iterable<JsonNode> items(String key) {
    JsonNode child = child(key);
    if (!child.isMissingNode() && !child.isArray()) {
      addFault(key, "a list", describe(child));
    }
    return child.isArray() ? child : List.of();
  }

  /** Returns the value of a key; a key without a value counts as absent. */
  private JsonNode child(String key) {
    knownKeys.add(key);
    JsonNode child = node.path(key);
    return child.isNull() ? MissingNode.getInstance() : child;
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  static boolean isIpLiteral(String text) {
    return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
  }

  static String describe(JsonNode node) {
    return node.isValueNode() && !node.isNull() ? "'" + node.asText() + "'" : typeOf(node);
  }

  private static String typeOf(JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return "nothing";
    }
    return node.isObject() ? "a section" : "a " + node.getNodeType().name().toLowerCase();
  }
}
