package org.galenapost.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.core.time.MonotonicClock;

/** Waits until every daemon has a change in force, and names those that lack it. */
final class RevisionWaiter {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(300);

  private final OperatorClient client;
  private final Output output;
  private final Duration timeout;
  private final MonotonicClock clock = MonotonicClock.system();

  RevisionWaiter(OperatorClient client, Output output, Duration timeout) {
    this.client = client;
    this.output = output;
    this.timeout = timeout;
  }

  Either<CommandFailure, Void> await(List<AppliedObject> applied) {
    long startNanos = clock.nanos();
    for (AppliedObject object : applied) {
      Either<CommandFailure, Void> result = await(object, startNanos);
      if (result.isLeft()) {
        return result;
      }
    }
    return Either.right(null);
  }

  private Either<CommandFailure, Void> await(AppliedObject object, long startNanos) {
    while (true) {
      Either<CommandFailure, List<String>> lacking = lacking(object);
      if (lacking.isLeft()) {
        return Either.left(lacking.getLeft());
      }
      if (lacking.get().isEmpty()) {
        output.printText(object.spec().label() + " in force at every daemon");
        return Either.right(null);
      }
      if (clock.since(startNanos).compareTo(timeout) >= 0 || !pause()) {
        return Either.left(timedOut(object, lacking.get()));
      }
    }
  }

  private Either<CommandFailure, List<String>> lacking(AppliedObject object) {
    String path =
        "/v1/config-revisions?kind=%s&name=%s&version=%d"
            .formatted(
                object.spec().kind().wireName(),
                OperatorClient.urlEncode(object.spec().name()),
                object.version());
    return client.getDocument(path).map(RevisionWaiter::lackingDaemons);
  }

  private static List<String> lackingDaemons(JsonNode document) {
    List<String> lines = new ArrayList<>();
    for (JsonNode daemon : document.path("daemons")) {
      if (!daemon.path("is_in_force").asBoolean()) {
        String why = daemon.path("is_reachable").asBoolean() ? "older revision" : "no answer";
        lines.add(daemon.path("daemon_id").asText() + " (" + why + ")");
      }
    }
    return lines;
  }

  private CommandFailure timedOut(AppliedObject object, List<String> lacking) {
    return CommandFailure.waitTimedOut(
        List.of(
            "%s version %d is accepted, but not in force everywhere after %d ms"
                .formatted(object.spec().label(), object.version(), timeout.toMillis()),
            "lacking: " + String.join(", ", lacking)));
  }

  private static boolean pause() {
    try {
      Thread.sleep(POLL_INTERVAL.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
