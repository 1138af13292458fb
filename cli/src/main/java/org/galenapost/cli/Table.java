package org.galenapost.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * Rows of text under headings.
 *
 * @param headings the headings
 * @param rows the rows, each as long as the headings
 */
public record Table(List<String> headings, List<List<String>> rows) {

  private static final String COLUMN_SEPARATOR = "  ";
  private static final String ABSENT = "-";

  /** Copies the headings and rows. */
  public Table {
    headings = List.copyOf(headings);
    rows = rows.stream().map(List::copyOf).toList();
  }

  /** Returns a table of JSON objects, one row each, with a column for each field that occurs. */
  public static Table ofObjects(Iterable<JsonNode> objects) {
    Set<String> fields = new LinkedHashSet<>();
    objects.forEach(object -> object.fieldNames().forEachRemaining(fields::add));
    List<String> headings =
        fields.stream().map(field -> field.toUpperCase(Locale.ROOT).replace('_', '-')).toList();
    List<List<String>> rows = new ArrayList<>();
    objects.forEach(
        object -> rows.add(fields.stream().map(field -> text(object.path(field))).toList()));
    return new Table(headings, rows);
  }

  /** Returns one JSON value as the text of a cell. */
  public static String text(JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return ABSENT;
    }
    if (node.isArray()) {
      String joined =
          StreamSupport.stream(node.spliterator(), false)
              .map(Table::text)
              .collect(Collectors.joining(","));
      return joined.isEmpty() ? ABSENT : joined;
    }
    return node.isValueNode() ? node.asText() : node.toString();
  }

  /** Returns the lines of the table, columns aligned to the left. */
  public List<String> lines() {
    List<List<String>> all = new ArrayList<>();
    all.add(headings);
    all.addAll(rows);
    int[] widths =
        IntStream.range(0, headings.size())
            .map(column -> all.stream().mapToInt(row -> row.get(column).length()).max().orElse(0))
            .toArray();
    return all.stream().map(row -> line(row, widths)).toList();
  }

  private static String line(List<String> row, int[] widths) {
    return IntStream.range(0, row.size())
        .mapToObj(column -> padded(row.get(column), widths[column]))
        .collect(Collectors.joining(COLUMN_SEPARATOR))
        .stripTrailing();
  }

  private static String padded(String cell, int width) {
    return cell + String.join("", Collections.nCopies(width - cell.length(), " "));
  }
}
