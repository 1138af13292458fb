package org.galenapost.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;

/** Shows documents that hold a list. */
final class ListPrinter {

  private static final String VALUE = "value";

  private ListPrinter() {}

  static Either<CommandFailure, Void> print(OperatorClient client, Output output, String path) {
    return client
        .getDocument(path)
        .peek(document -> output.print(document, Table.ofObjects(rows(document))))
        .map(document -> null);
  }

  /** Finds the list in a document: the document itself, or its first field that is a list. */
  private static List<JsonNode> rows(JsonNode document) {
    List<JsonNode> rows = new ArrayList<>();
    itemsOf(document).forEach(item -> rows.add(flat(item)));
    return rows;
  }

  private static JsonNode itemsOf(JsonNode document) {
    if (document.isArray()) {
      return document;
    }
    for (JsonNode field : document) {
      if (field.isArray()) {
        return field;
      }
    }
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Puts the fields of a configuration object's value beside its name and version. */
  private static JsonNode flat(JsonNode item) {
    if (!item.path(VALUE).isObject()) {
      return item;
    }
    ObjectNode row = item.deepCopy();
    row.remove(List.of(VALUE, "kind"));
    row.setAll((ObjectNode) item.path(VALUE));
    return row;
  }
}
