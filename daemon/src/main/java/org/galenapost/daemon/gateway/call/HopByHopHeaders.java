package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The hop-by-hop headers, which apply to one connection only and are never forwarded. */
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

  /** Returns a copy without the hop-by-hop headers and those that Connection names. */
  public static HttpHeaders copyWithout(HttpHeaders headers) {
    HttpHeaders endToEnd = headers.copy();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        String connectionOption = name.strip();
        if (!connectionOption.isEmpty()) {
          endToEnd.remove(connectionOption);
        }
      }
    }
    NAMES.forEach(endToEnd::remove);
    return endToEnd;
  }
}
