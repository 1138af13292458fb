package org.galenapost.scenarios.soak;

import java.nio.charset.StandardCharsets;

/** The forms of header lines whose cost in a process differs from their bytes on the wire. */
enum HeadShape {
  EMPTY_VALUES,
  DISTINCT_SHORT_NAMES,
  REPEATED_NAMES,
  LONG_NAMES,
  FOLDED_LINES,
  OUTSIDE_ASCII;

  private static final int LONG_NAME_LENGTH = 4_000;
  private static final int RADIX = 36;

  /** Returns header lines with at most the given number of bytes, without the blank line. */
  byte[] lines(int maxBytes) {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; ; i++) {
      String line = line(i);
      if (lines.length() + line.length() > maxBytes) {
        return lines.toString().getBytes(StandardCharsets.ISO_8859_1);
      }
      lines.append(line);
    }
  }

  private String line(int index) {
    return switch (this) {
      case EMPTY_VALUES -> "a:\r\n";
      case DISTINCT_SHORT_NAMES -> Integer.toString(index, RADIX) + ":\r\n";
      case REPEATED_NAMES -> "accept: a\r\n";
      case LONG_NAMES -> "n".repeat(LONG_NAME_LENGTH) + index + ": v\r\n";
      case FOLDED_LINES -> index == 0 ? "a: b\r\n" : " c\r\n";
      case OUTSIDE_ASCII -> "a:\u00e9\r\n";
    };
  }
}
