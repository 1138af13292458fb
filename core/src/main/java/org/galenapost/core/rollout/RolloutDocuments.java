package org.galenapost.core.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.VersionedObject;

/** Reads orders from the objects that hold them. */
final class RolloutDocuments {

  private RolloutDocuments() {}

  /** The object without its name and version. */
  private record Document(
      JsonNode service, JsonNode target, JsonNode withinMs, Optional<RolloutStatus> status) {}

  /**
   * Reads an order. A field that is missing or of another type is left empty, so that the order's
   * status can name it.
   */
  static Either<String, RolloutOrder> read(VersionedObject object) {
    return Json.read(object.json(), Document.class)
        .map(
            document ->
                new RolloutOrder(
                    object.key().name(),
                    textOf(document.service()),
                    textOf(document.target()),
                    document.withinMs() == null ? 0 : document.withinMs().asLong(0),
                    document.status(),
                    object.version()));
  }

  private static String textOf(JsonNode node) {
    return node != null && node.isTextual() ? node.textValue() : "";
  }
}
