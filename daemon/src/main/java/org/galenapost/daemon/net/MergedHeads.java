package org.galenapost.daemon.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds what a head of a response can only hold if it was read from parts of two heads, as of a
 * response that was cut in its head and the next one.
 */
public final class MergedHeads {

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d\\.\\d[ \\t]+\\d{3}", Pattern.CASE_INSENSITIVE);

  private MergedHeads() {}

  /** Returns the first sign of two heads in a response, if there is one. */
  public static Optional<String> findSign(HttpResponse response) {
    HttpVersion version = response.protocolVersion();
    boolean isKnownVersion =
        version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    if (!isKnownVersion) {
      return Optional.of("a status line that begins with " + version);
    }
    if (holdsStatusLine(response.status().reasonPhrase())) {
      return Optional.of("a status line in its reason phrase");
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (holdsStatusLine(header.getKey()) || holdsStatusLine(header.getValue())) {
        return Optional.of("a status line in the header " + header.getKey());
      }
    }
    int lengths = response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    return lengths > 1 ? Optional.of(lengths + " lengths") : Optional.empty();
  }

  private static boolean holdsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }
}
