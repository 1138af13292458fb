package org.galenapost.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.PrintStream;
import org.galenapost.core.json.Json;

/** Prints the results of commands as a table or as JSON. */
public final class Output {

  private static final ObjectWriter PRETTY_WRITER =
      Json.newMapper().writerWithDefaultPrettyPrinter();

  private final OutputFormat format;
  private final PrintStream out;

  /** Creates an output with the given format. */
  public Output(OutputFormat form, PrintStream out) {
    this.format = form;
    this.out = out;
  }

  /** Prints the document in JSON format, or the table in table format. */
  public void print(JsonNode document, Table table) {
    if (format == OutputFormat.JSON) {
      printJson(document);
    } else {
      table.lines().forEach(out::println);
    }
  }

  /** Prints the whole document as JSON, whatever the format. */
  public void printJson(JsonNode document) {
    try {
      out.println(PRETTY_WRITER.writeValueAsString(document));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to write a parsed document as JSON", e);
    }
  }

  /** Prints the document in JSON format, or the line in table format. */
  public void printJsonOrText(JsonNode document, String line) {
    if (format == OutputFormat.JSON) {
      printJson(document);
    } else {
      out.println(line);
    }
  }

  /** Prints the line in table format only. */
  public void printText(String line) {
    if (format == OutputFormat.TABLE) {
      out.println(line);
    }
  }
}
