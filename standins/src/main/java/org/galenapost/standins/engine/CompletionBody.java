package org.galenapost.standins.engine;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;
import java.util.Optional;
import org.galenapost.standins.http.HttpError;

/**
 * The body of a request that starts a generation or resumes one after accepted tokens.
 *
 * @param requestId the attempt's id
 * @param model the model's name
 * @param version the model's version, or null for the newest loaded version
 * @param adapter the adapter's name, or null
 * @param prompt the prompt
 * @param accepted the tokens already delivered, after which the answer continues
 * @param seed the seed of the answer's text
 * @param maxTokens the limit of the answer's tokens, accepted ones included; 0 means the default
 * @param priority the priority; a lower number starts earlier
 * @param stream whether the answer is streamed; must be true
 * @param detachedKeepMs how long in milliseconds a generation is kept without a reader
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record CompletionBody(
    String requestId,
    String model,
    String version,
    String adapter,
    String prompt,
    List<String> accepted,
    long seed,
    int maxTokens,
    int priority,
    boolean stream,
    long detachedKeepMs) {

  private static final int DEFAULT_MAX_TOKENS = 256;

  /**
   * Validates the required fields and sets the defaults of the others.
   *
   * @throws HttpError with status 400 if a required field is absent or {@code stream} is false
   */
  public CompletionBody {
    require(requestId, "request_id");
    require(model, "model");
    require(prompt, "prompt");
    if (!stream) {
      throw HttpError.badRequest("expected stream to be true");
    }
    accepted = accepted == null ? List.of() : List.copyOf(accepted);
    maxTokens = maxTokens <= 0 ? DEFAULT_MAX_TOKENS : maxTokens;
  }

  /** Returns the adapter's name, if the request names one. */
  Optional<String> adapterName() {
    return Optional.ofNullable(adapter);
  }

  private static void require(String value, String name) {
    if (value == null || value.isEmpty()) {
      throw HttpError.badRequest("expected " + name);
    }
  }
}
