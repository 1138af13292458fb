package org.galenapost.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.DaemonResponse;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;
import org.galenapost.core.json.Json;

/** Writes configuration objects in order and stops at the first failure. */
final class Applier {

  private static final long ABSENT = 0;

  private final OperatorClient client;
  private final Output output;

  Applier(OperatorClient client, Output output) {
    this.client = client;
    this.output = output;
  }

  /** Writes the objects that are not yet in force and returns all with their versions, in order. */
  Either<CommandFailure, List<AppliedObject>> apply(List<ObjectSpec> specs) {
    List<AppliedObject> applied = new ArrayList<>();
    for (ObjectSpec spec : specs) {
      Either<CommandFailure, AppliedObject> result = apply(spec);
      if (result.isLeft()) {
        return Either.left(withUntriedCount(result.getLeft(), specs.size() - applied.size() - 1));
      }
      applied.add(result.get());
    }
    return Either.right(applied);
  }

  private Either<CommandFailure, AppliedObject> apply(ObjectSpec spec) {
    return client.get(spec.path()).flatMap(current -> writeIfChanged(spec, current));
  }

  private Either<CommandFailure, AppliedObject> writeIfChanged(
      ObjectSpec spec, DaemonResponse current) {
    if (!current.isSuccess() && !current.isNotFound()) {
      return Either.left(CommandFailure.refused(spec.label() + ": " + current.describe()));
    }
    boolean exists = current.isSuccess() && current.document().path("value").isObject();
    long version = exists ? versionOf(current) : ABSENT;
    if (exists && hasValue(spec, current.document().path("value"))) {
      output.printJsonOrText(current.document(), spec.label() + " unchanged at version " + version);
      return Either.right(new AppliedObject(spec, version));
    }
    String path = spec.path() + "?expected_version=" + spec.expectedVersion().orElse(version);
    return client.put(path, spec.json()).flatMap(response -> toAppliedObject(spec, response));
  }

  private Either<CommandFailure, AppliedObject> toAppliedObject(
      ObjectSpec spec, DaemonResponse response) {
    if (!response.isSuccess()) {
      return Either.left(refusal(spec.label(), response));
    }
    String line = spec.label() + " accepted at version " + versionOf(response);
    output.printJsonOrText(response.document(), line);
    return Either.right(new AppliedObject(spec, versionOf(response)));
  }

  /** Returns the failure for a refused change, with the conflicting version and the faults. */
  static CommandFailure refusal(String label, DaemonResponse response) {
    List<String> lines = new ArrayList<>();
    lines.add(label + ": " + response.describe());
    JsonNode document = response.document();
    if (response.isConflict()) {
      lines.add("in force: version " + Table.text(document.path("current").path("version")));
    }
    for (JsonNode difference : document.path("differences")) {
      lines.add(
          "  %s: yours %s, in force %s"
              .formatted(
                  difference.path("field").asText(),
                  difference.path("yours").asText(),
                  difference.path("current").asText()));
    }
    for (JsonNode fault : document.path("faults")) {
      lines.add(
          "  %s: expected %s, but found %s"
              .formatted(
                  fault.path("field").asText(),
                  fault.path("expected").asText(),
                  fault.path("found").asText()));
    }
    return new CommandFailure(response.exitCode(), lines);
  }

  private static CommandFailure withUntriedCount(CommandFailure failure, int untriedCount) {
    if (untriedCount == 0) {
      return failure;
    }
    List<String> lines = new ArrayList<>(failure.lines());
    lines.add("not tried: the " + untriedCount + " objects after it");
    return new CommandFailure(failure.exitCode(), lines);
  }

  private static long versionOf(DaemonResponse response) {
    return response.document().path("version").asLong();
  }

  private static boolean hasValue(ObjectSpec spec, JsonNode value) {
    Optional<JsonNode> requested = Json.read(spec.json(), JsonNode.class).toJavaOptional();
    return requested.filter(value::equals).isPresent();
  }
}
