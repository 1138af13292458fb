package org.galenapost.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.json.Json;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.profile.RerunPolicy;
import org.galenapost.core.profile.Urgency;

/** Reads configuration objects from JSON and lists all their faults at once. */
public final class ConfigurationDocuments {

  private static final long MAX_DEADLINE_MS = Duration.ofHours(24).toMillis();
  private static final int MAX_WEIGHT = 1000;
  private static final int MAX_IN_FLIGHT = 1_000_000;
  private static final int MAX_PORT = 65_535;
  private static final long MAX_MODEL_BYTES = 1L << 44;
  private static final int MAX_NAME_CHARS = 128;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
  private static final Pattern IPV4 =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");
  private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f:]*:[0-9A-Fa-f:.]+");
  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

  private ConfigurationDocuments() {}

  /** Lists the faults of an object of any kind; the list is empty if the object may be written. */
  public static List<ConfigurationFault> faults(ConfigurationKind kind, String name, String json) {
    Either<List<ConfigurationFault>, ?> result =
        switch (kind) {
          case PROFILE -> profile(name, json);
          case WORKSPACE -> workspace(name, json);
          case SERVER -> server(name, json);
          case MODEL -> model(name, json);
          case PLACEMENT -> placement(name, json);
          case GATEWAY, INSTANCE ->
              Either.left(
                  List.of(
                      new ConfigurationFault(
                          "kind", "a kind that operators write here", kind.wireName())));
        };
    return result.isLeft() ? result.getLeft() : List.of();
  }

  /** Reads a profile. */
  public static Either<List<ConfigurationFault>, Profile> profile(String name, String json) {
    return read(
        name,
        json,
        reader -> {
          Urgency urgency = reader.choice("urgency", Urgency.class);
          boolean idempotent = reader.flag("idempotent");
          long deadlineMs = reader.number("deadline_ms", 1, MAX_DEADLINE_MS);
          RecoveryPolicy recovery = reader.choice("recovery", RecoveryPolicy.class);
          RerunPolicy rerun = reader.choice("rerun", RerunPolicy.class);
          Duration deadline = Duration.ofMillis(deadlineMs);
          return () -> new Profile(name, urgency, idempotent, deadline, recovery, rerun);
        });
  }

  /** Reads a workspace. */
  public static Either<List<ConfigurationFault>, Workspace> workspace(String name, String json) {
    return read(
        name,
        json,
        reader -> {
          List<String> digests = reader.texts("key_sha256_hex");
          digests.stream()
              .filter(digest -> !SHA256_HEX.matcher(digest).matches())
              .forEach(
                  digest -> reader.addFault("key_sha256_hex", "64 lower-case hex digits", digest));
          int weight = (int) reader.number("weight", 1, MAX_WEIGHT);
          int maxInFlight = (int) reader.number("max_in_flight", 1, MAX_IN_FLIGHT);
          return () -> new Workspace(name, digests, weight, maxInFlight);
        });
  }

  /** Reads a backend server. */
  public static Either<List<ConfigurationFault>, BackendServer> server(String name, String json) {
    return read(name, json, reader -> readServer(name, reader));
  }

  /** Reads a model. */
  public static Either<List<ConfigurationFault>, Model> model(String name, String json) {
    return read(
        name,
        json,
        reader -> {
          String version = reader.text("version");
          long sizeBytes = reader.number("size_bytes", 0, MAX_MODEL_BYTES);
          return () -> new Model(name, version, sizeBytes);
        });
  }

  /** Reads the placement of one engine. */
  public static Either<List<ConfigurationFault>, Placement> placement(String name, String json) {
    return read(
        name,
        json,
        reader -> {
          String role = reader.text("role");
          List<Placement.PlacedModel> models =
              reader.objects("models").stream()
                  .map(ConfigurationDocuments::readPlacedModel)
                  .toList();
          return () -> new Placement(name, role, models);
        });
  }

  private static Supplier<BackendServer> readServer(String name, FieldReader reader) {
    String ip = reader.text("ip");
    if (!ip.isEmpty() && !IPV4.matcher(ip).matches() && !IPV6.matcher(ip).matches()) {
      reader.addFault("ip", "an IP literal", ip);
    }
    int port = (int) reader.number("port", 1, MAX_PORT);
    ServerKind kind = reader.choice("kind", ServerKind.class);
    String dataCentre = reader.text("data_centre");
    Set<String> models = Set.copyOf(reader.texts("models"));
    Optional<String> service = reader.optionalText("service");
    if (kind == ServerKind.SERVICE && service.isEmpty()) {
      reader.addFault("service", "the service's name", "nothing");
    }
    ServerState state = reader.choice("state", ServerState.class);
    boolean checksFencing = reader.flag("checks_fencing");
    return () ->
        new BackendServer(name, ip, port, kind, dataCentre, models, service, state, checksFencing);
  }

  private static Placement.PlacedModel readPlacedModel(FieldReader reader) {
    String model = reader.text("model");
    String version = reader.text("version");
    List<String> adapters = reader.texts("adapters");
    reader.rejectUnknownFields();
    return new Placement.PlacedModel(model, version, Set.copyOf(adapters));
  }

  private static <T> Either<List<ConfigurationFault>, T> read(
      String name, String json, Function<FieldReader, Supplier<T>> fields) {
    Either<String, JsonNode> document = Json.read(json, JsonNode.class);
    if (document.isLeft() || !document.get().isObject()) {
      String found = document.fold(error -> error, node -> node.getNodeType().name());
      return Either.left(List.of(new ConfigurationFault("document", "a JSON object", found)));
    }
    FieldReader reader = new FieldReader(document.get());
    if (name.length() > MAX_NAME_CHARS || !NAME.matcher(name).matches()) {
      reader.addFault("name", "letters, digits, dots, hyphens and underscores", name);
    }
    Supplier<T> value = fields.apply(reader);
    reader.rejectUnknownFields();
    return reader.faults().isEmpty() ? Either.right(value.get()) : Either.left(reader.faults());
  }
}
