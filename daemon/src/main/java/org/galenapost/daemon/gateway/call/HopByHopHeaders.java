package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The headers that concern one connection only and are never passed on. */
public final class HopByHopHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /** Returns a copy without the headers of one connection and those that it names. */
  public static HttpHeaders copyWithout(HttpHeaders headers) {
    HttpHeaders kept = headers.copy();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        String stripped = name.strip();
        if (!stripped.isEmpty()) {
          kept.remove(stripped);
        }
      }
    }
    NAMES.forEach(kept::remove);
    return kept;
  }
}
