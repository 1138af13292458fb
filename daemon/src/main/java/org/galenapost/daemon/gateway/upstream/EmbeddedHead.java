package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Looks for the head of another response in a body, of which the parts are added in order. A
 * response that was cut in its body takes in the one that follows on the connection.
 */
final class EmbeddedHead {

  private static final int MAX_HEAD_CHARS = 4 * 1024;
  private static final int MAX_REASON_CHARS = 256;
  private static final String START = "HTTP/1.";
  private static final int OVERLAP = START.length() - 1;
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] \\d{3}[^\\r\\n]{0," + MAX_REASON_CHARS + "}+\\r\\n");
  private static final int MAX_LINE_CHARS = "HTTP/1.1 200\r\n".length() + MAX_REASON_CHARS;

  /** The text from the status line on, or the end of the body so far, which may begin one. */
  private String text = "";

  private boolean isFound;

  /**
   * Adds the next part of the body.
   *
   * @return whether a status line has been found and the text from there on has grown
   */
  boolean add(ByteBuf part) {
    if (!isFound) {
      search(text + part.toString(StandardCharsets.ISO_8859_1));
      return isFound;
    }
    int length = Math.min(MAX_HEAD_CHARS - text.length(), part.readableBytes());
    if (length == 0) {
      return false;
    }
    text += part.toString(part.readerIndex(), length, StandardCharsets.ISO_8859_1);
    return true;
  }

  private void search(String all) {
    int start = all.indexOf(START);
    if (start < 0) {
      text = all.substring(Math.max(0, all.length() - OVERLAP));
      return;
    }
    Matcher statusLine = STATUS_LINE.matcher(all);
    isFound = statusLine.find(start);
    if (isFound) {
      int from = statusLine.start();
      text = all.substring(from, Math.min(all.length(), from + MAX_HEAD_CHARS));
    } else {
      int from = all.indexOf(START, Math.max(0, all.length() - MAX_LINE_CHARS));
      text = all.substring(from >= 0 ? from : Math.max(0, all.length() - OVERLAP));
    }
  }

  /** Returns whether a status line has been found. */
  boolean isFound() {
    return isFound;
  }

  /** Returns the text from the status line on, as far as it may belong to the head. */
  String text() {
    return text;
  }
}
