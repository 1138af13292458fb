package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenapost.core.dispatch.CallDemand;

/**
 * The head of a caller's request.
 *
 * @param id the caller's id of this attempt
 * @param method the method
 * @param target the path with its query, as the caller spelled it
 * @param host the host that the caller named
 * @param headers all headers
 * @param waitMs how long the caller waits, in milliseconds, if it says
 * @param key the caller's key, if it sent one
 * @param resumeAfter the number of the last event that the caller has, if it continues a stream
 * @param demand what the call takes of an engine
 */
public record CallHead(
    String id,
    HttpMethod method,
    String target,
    String host,
    HttpHeaders headers,
    OptionalLong waitMs,
    Optional<String> key,
    OptionalLong resumeAfter,
    CallDemand demand) {

  /** Checks that every part is present. */
  public CallHead {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(waitMs, "waitMs");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(resumeAfter, "resumeAfter");
    Objects.requireNonNull(demand, "demand");
  }

  /** Returns the path without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
