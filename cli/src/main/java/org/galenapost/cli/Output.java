package org.galenapost.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.PrintStream;
import org.galenapost.core.json.Json;

/** Prints answers as a table or as JSON. */
public final class Output {

  private static final ObjectWriter PRETTY_WRITER = Json.newMapper().writerWithDefaultPrettyPrinter();

  private final OutputFormat format;
  private final PrintStream out;

  /** Creates an output in the given form. */
  public Output(OutputFormat form, PrintStream out) {
    this.format = form;
    this.out = out;
  }

  /** Prints the document, or the table where tables are wanted. */
  public void print(JsonNode document, Table table) {
    if (format == OutputFormat.JSON) {
      printJson(document);
    } else {
      table.lines().forEach(out::println);
    }
  }

  /** Prints a document in full in either form. */
  public void printJson(JsonNode document) {
    try {
      out.println(PRETTY_WRITER.writeValueAsString(document));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a parsed document cannot be written", e);
    }
  }

  /** Prints the document where JSON is wanted, else the line. */
  public void printJsonOrText(JsonNode document, String line) {
    if (format == OutputFormat.JSON) {
      printJson(document);
    } else {
      out.println(line);
    }
  }

  /** Prints a line for a human reader; nothing where JSON is wanted. */
  public void printText(String line) {
    if (format == OutputFormat.TABLE) {
      out.println(line);
    }
  }
}
