package org.galenapost.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's complete request, copied out of the connection's buffers.
 *
 * @param method the HTTP method
 * @param uri the path and query as sent
 * @param headers the headers
 * @param body the body, which must not be modified
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

  /** Returns the path without the query. */
  public String path() {
    int question = uri.indexOf('?');
    return question < 0 ? uri : uri.substring(0, question);
  }
}
