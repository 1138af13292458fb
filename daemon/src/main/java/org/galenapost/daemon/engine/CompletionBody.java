package org.galenapost.daemon.engine;

import java.util.List;
import org.galenapost.core.generation.AttemptStart;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.profile.Urgency;

/**
 * The JSON request body that starts or resumes an attempt on an engine.
 *
 * @param requestId the attempt id
 * @param model the model name
 * @param version the model version, or null for the newest
 * @param adapter the adapter name, or null for none
 * @param prompt the prompt
 * @param accepted the tokens generated so far, after which the engine continues
 * @param seed the seed of the sampler
 * @param temperature the sampling temperature
 * @param topP the cumulative probability for nucleus sampling
 * @param maxTokens the maximum number of tokens, including the accepted ones
 * @param priority the scheduling priority; a lower value is more urgent
 * @param stream whether the engine streams the answer; always true
 * @param detachedKeepMs how long the engine keeps the generation without a connected reader, in
 *     milliseconds
 */
public record CompletionBody(
    String requestId,
    String model,
    String version,
    String adapter,
    String prompt,
    List<String> accepted,
    long seed,
    double temperature,
    double topP,
    int maxTokens,
    int priority,
    boolean stream,
    long detachedKeepMs) {

  /**
   * Creates the request body of an attempt.
   *
   * @param request the caller's request
   * @param start the attempt to start, with its pin and accepted tokens
   * @param isResume whether the attempt resumes a generation after a loss; a resume takes
   *     precedence over new work of the same urgency
   * @param detachedKeepMs how long the engine keeps the generation without a connected reader, in
   *     milliseconds
   */
  public static CompletionBody of(
      GenerationRequest request, AttemptStart start, boolean isResume, long detachedKeepMs) {
    return new CompletionBody(
        start.attempt().toString(),
        start.pin().model(),
        start.pin().version().orElse(null),
        start.pin().adapter().orElse(null),
        request.prompt(),
        start.accepted(),
        start.pin().seed(),
        start.pin().temperature(),
        start.pin().topP(),
        request.maxTokens(),
        priority(request.profile().urgency(), isResume),
        true,
        detachedKeepMs);
  }

  private static int priority(Urgency urgency, boolean isResume) {
    return 2 * urgency.ordinal() + (isResume ? 0 : 1);
  }
}
