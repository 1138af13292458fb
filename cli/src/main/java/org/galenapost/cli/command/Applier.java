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

/** Writes configuration objects one after the other and stops at the first that is refused. */
final class Applier {

  private static final long ABSENT = 0;

  private final OperatorClient client;
  private final Output output;

  Applier(OperatorClient client, Output output) {
    this.client = client;
    this.output = output;
  }

  /** Returns the versions in force, in the order of the objects. */
  Either<CommandFailure, List<AppliedObject>> apply(List<ObjectSpec> specs) {
    List<AppliedObject> applied = new ArrayList<>();
    for (ObjectSpec spec : specs) {
      Either<CommandFailure, AppliedObject> result = apply(spec);
      if (result.isLeft()) {
        return Either.left(withRest(result.getLeft(), specs.size() - applied.size() - 1));
      }
      applied.add(result.get());
    }
    return Either.right(applied);
  }

  private Either<CommandFailure, AppliedObject> apply(ObjectSpec spec) {
    return client.get(spec.path()).flatMap(current -> write(spec, current));
  }

  private Either<CommandFailure, AppliedObject> write(ObjectSpec spec, DaemonResponse current) {
    if (!current.isSuccess() && !current.isNotFound()) {
      return Either.left(CommandFailure.refused(spec.label() + ": " + current.describe()));
    }
    boolean exists = current.isSuccess() && current.document().path("value").isObject();
    long version = exists ? versionOf(current) : ABSENT;
    if (exists && isSame(spec, current.document().path("value"))) {
      output.printJsonOrText(current.document(), spec.label() + " unchanged at version " + version);
      return Either.right(new AppliedObject(spec, version));
    }
    String path = spec.path() + "?expected_version=" + spec.expectedVersion().orElse(version);
    return client.put(path, spec.json()).flatMap(answer -> accepted(spec, answer));
  }

  private Either<CommandFailure, AppliedObject> accepted(ObjectSpec spec, DaemonResponse answer) {
    if (!answer.isSuccess()) {
      return Either.left(refusal(spec.label(), answer));
    }
    String line = spec.label() + " accepted at version " + versionOf(answer);
    output.printJsonOrText(answer.document(), line);
    return Either.right(new AppliedObject(spec, versionOf(answer)));
  }

  /** Returns the failure of a refused change, with the other change if there was one. */
  static CommandFailure refusal(String label, DaemonResponse answer) {
    List<String> lines = new ArrayList<>();
    lines.add(label + ": " + answer.describe());
    JsonNode document = answer.document();
    if (answer.isConflict()) {
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
    return new CommandFailure(answer.exitCode(), lines);
  }

  private static CommandFailure withRest(CommandFailure failure, int notTried) {
    if (notTried == 0) {
      return failure;
    }
    List<String> lines = new ArrayList<>(failure.lines());
    lines.add("not tried: the " + notTried + " objects after it");
    return new CommandFailure(failure.exitCode(), lines);
  }

  private static long versionOf(DaemonResponse answer) {
    return answer.document().path("version").asLong();
  }

  private static boolean isSame(ObjectSpec spec, JsonNode value) {
    Optional<JsonNode> wanted = Json.read(spec.json(), JsonNode.class).toJavaOptional();
    return wanted.filter(value::equals).isPresent();
  }
}
