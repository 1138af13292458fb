package org.galenapost.daemon.log;

import java.util.regex.Pattern;

/**
 * Escapes values so that an event stays on one line and can be parsed into its pairs. Long values
 * are cut, since callers choose some of them and events wait in memory until they are written.
 */
final class LogValue {

  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9_.:/@+,\\[\\]-]+");
  private static final int MAX_LENGTH = 512;
  private static final String CUT_MARK = "...";
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int DELETE = 0x7f;
  private static final int LINE_SEPARATOR = 0x2028;
  private static final int PARAGRAPH_SEPARATOR = 0x2029;

  private LogValue() {}

  static String escape(String value) {
    String shown = value.length() <= MAX_LENGTH ? value : value.substring(0, MAX_LENGTH) + CUT_MARK;
    return PLAIN.matcher(shown).matches() ? shown : quote(shown);
  }

  private static String quote(String value) {
    StringBuilder quoted = new StringBuilder(value.length() + 2).append('"');
    value.chars().forEach(character -> appendEscaped(quoted, (char) character));
    return quoted.append('"').toString();
  }

  private static void appendEscaped(StringBuilder quoted, char character) {
    if (character == '"' || character == '\\') {
      quoted.append('\\').append(character);
    } else if (isControl(character)) {
      quoted.append(String.format("\\u%04x", (int) character));
    } else {
      quoted.append(character);
    }
  }

  private static boolean isControl(char character) {
    return character < FIRST_PRINTABLE
        || character == DELETE
        || character == LINE_SEPARATOR
        || character == PARAGRAPH_SEPARATOR;
  }
}
