package org.galenapost.daemon.explain;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/**
 * The outcome of a request.
 *
 * @param workspace the name of the workspace, if the caller was authenticated
 * @param profile the name of the profile, if it was found
 * @param target the name of the model or service, if the target was parsed
 * @param httpStatus the HTTP status of the answer, 0 if the caller disconnected before it
 * @param verdict the verdict of the refusal, if the request was refused
 * @param reason the reason of the refusal, if the request was refused
 * @param elapsedMs the time from arrival to the end of the response, in ms
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record RequestOutcome(
    Optional<String> workspace,
    Optional<String> profile,
    Optional<String> target,
    int httpStatus,
    Optional<String> verdict,
    Optional<String> reason,
    long elapsedMs) {}
