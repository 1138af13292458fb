package org.galenapost.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.fleet.BackendServer;

/**
 * One attempt at a call of a plain service.
 *
 * @param server the backend server that the attempt is sent to
 * @param method the HTTP method
 * @param uri the path and query at the service
 * @param callerHeaders the caller's headers, some of which are forwarded
 * @param body the body, empty if there is none
 * @param requestId the id of the caller's request
 * @param attemptId the id of the claimed attempt, empty if the call is idempotent
 * @param timeout the time limit of the attempt
 */
record ServiceRequest(
    BackendServer server,
    String method,
    String uri,
    HttpHeaders callerHeaders,
    byte[] body,
    String requestId,
    Optional<String> attemptId,
    Duration timeout) {}
