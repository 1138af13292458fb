package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenapost.core.dispatch.CallDemand;
import org.galenapost.core.prompt.PartIds;

/**
 * The head of a caller's request.
 *
 * @param id the caller's id for this attempt
 * @param method the HTTP method
 * @param target the path and query as received
 * @param host the requested host name
 * @param headers all headers as received
 * @param waitMs how long the caller waits, in milliseconds, if the request states it
 * @param key the caller's key, if it sent one
 * @param resumeAfter the number of the last event that the caller received, if it resumes a stream
 * @param resumedStreamId the id of the caller's attempt that brought the first event of the stream,
 *     if the caller resumes one and names it
 * @param demand the engine resources that the call needs
 * @param sharedPartIds the ids of the parts of the prompt that other requests may share; the last
 *     part is not among them, since it belongs to the request itself
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
    Optional<String> resumedStreamId,
    CallDemand demand,
    PartIds sharedPartIds) {

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
    Objects.requireNonNull(resumedStreamId, "resumedStreamId");
    Objects.requireNonNull(demand, "demand");
    Objects.requireNonNull(sharedPartIds, "sharedPartIds");
  }

  /** Returns the path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
