package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Looks for the head of another response in a body, of which the parts are added in order. A
 * response that was cut in its body takes in the one that follows on the connection.
 */
final class EmbeddedHead {

  private static final int MAX_HEAD_CHARS = 4 * 1024;
  private static final ByteBuf START =
      Unpooled.unreleasableBuffer(
          Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.ISO_8859_1).asReadOnly());
  private static final int OVERLAP = START.readableBytes() - 1;
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] \\d{3}[^\\r\\n]*\\r\\n");

  /** The text from the last start that may be a head, or the last bytes of the body so far. */
  private String text = "";

  private boolean isStarted;

  void add(ByteBuf part) {
    if (isStarted) {
      text = beginning(text + part.toString(StandardCharsets.ISO_8859_1));
    } else if (ByteBufUtil.indexOf(START, part) >= 0 || isStartAcross(part)) {
      String all = text + part.toString(StandardCharsets.ISO_8859_1);
      text = beginning(all.substring(all.indexOf("HTTP/1.")));
      isStarted = true;
    } else {
      text = end(text + end(part));
    }
    skipWhatIsNoHead();
  }

  private boolean isStartAcross(ByteBuf part) {
    int length = Math.min(OVERLAP, part.readableBytes());
    String seam = text + part.toString(part.readerIndex(), length, StandardCharsets.ISO_8859_1);
    return seam.contains("HTTP/1.");
  }

  /** Goes on to the next start once the text shows that the last one begins no status line. */
  private void skipWhatIsNoHead() {
    while (isStarted && text.contains("\r\n") && !STATUS_LINE.matcher(text).lookingAt()) {
      int next = text.indexOf("HTTP/1.", 1);
      isStarted = next >= 0;
      text = isStarted ? text.substring(next) : end(text);
    }
  }

  /** Returns whether a status line has been found. */
  boolean isFound() {
    return isStarted && STATUS_LINE.matcher(text).lookingAt();
  }

  /** Returns the text from the status line on, as far as it may belong to the head. */
  String text() {
    return text;
  }

  private static String beginning(String all) {
    return all.length() > MAX_HEAD_CHARS ? all.substring(0, MAX_HEAD_CHARS) : all;
  }

  private static String end(String all) {
    return all.substring(Math.max(0, all.length() - OVERLAP));
  }

  private static String end(ByteBuf part) {
    int length = Math.min(OVERLAP, part.readableBytes());
    return part.toString(part.writerIndex() - length, length, StandardCharsets.ISO_8859_1);
  }
}
