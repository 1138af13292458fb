package org.galenapost.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream into server-sent events and passes on the data of each whole one. Text is
 * decoded only once a line is complete, so that characters and events may be cut anywhere. Not safe
 * for use by several threads.
 */
final class EventDecoder {

  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final int INITIAL_BYTES = 512;
  private static final String DATA_FIELD = "data:";

  private final Consumer<String> onData;
  private final StringBuilder data = new StringBuilder();
  private byte[] line = new byte[INITIAL_BYTES];
  private int lineLength;
  private boolean hasData;

  EventDecoder(Consumer<String> onData) {
    this.onData = onData;
  }

  /**
   * Takes the next bytes.
   *
   * @throws IllegalArgumentException if a line or an event is longer than a mebibyte
   */
  void feed(byte[] bytes) {
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        append(bytes, start, i);
        endLine();
        start = i + 1;
      }
    }
    append(bytes, start, bytes.length);
  }

  private void append(byte[] bytes, int from, int to) {
    int needed = lineLength + to - from;
    if (needed > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("a line of an event stream has " + needed + " bytes");
    }
    if (needed > line.length) {
      line = Arrays.copyOf(line, Math.max(needed, 2 * line.length));
    }
    System.arraycopy(bytes, from, line, lineLength, to - from);
    lineLength = needed;
  }

  private void endLine() {
    int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
    String text = new String(line, 0, end, StandardCharsets.UTF_8);
    lineLength = 0;
    if (text.isEmpty()) {
      endEvent();
    } else if (text.startsWith(DATA_FIELD)) {
      appendData(text);
    }
  }

  private void appendData(String text) {
    if (hasData) {
      data.append('\n');
    }
    hasData = true;
    int skip = text.startsWith(" ", DATA_FIELD.length()) ? 1 : 0;
    data.append(text, DATA_FIELD.length() + skip, text.length());
    if (data.length() > MAX_LINE_BYTES) {
      throw new IllegalArgumentException("an event has more than " + MAX_LINE_BYTES + " bytes");
    }
  }

  private void endEvent() {
    if (hasData) {
      String event = data.toString();
      data.setLength(0);
      hasData = false;
      onData.accept(event);
    }
  }
}
