package org.galenapost.daemon.caller.filter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.cfg.MutableCoercionConfig;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;

/**
 * The body of a completion request.
 *
 * @param model the model, required
 * @param prompt the prompt, required
 * @param seed the seed, drawn by the daemon if absent
 * @param maxTokens the most tokens to generate
 * @param temperature the sampling temperature
 * @param topP the nucleus sampling bound
 * @param adapter the adapter
 * @param stream whether each token is sent as it comes
 */
record CompletionBody(
    String model,
    String prompt,
    Optional<Long> seed,
    Optional<Integer> maxTokens,
    Optional<Double> temperature,
    Optional<Double> topP,
    Optional<String> adapter,
    Optional<Boolean> stream) {

  private static final ObjectReader READER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .withCoercionConfig(LogicalType.Textual, CompletionBody::rejectNonStrings)
          .build()
          .readerFor(CompletionBody.class);

  private static void rejectNonStrings(MutableCoercionConfig texts) {
    texts.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail);
    texts.setCoercion(CoercionInputShape.Float, CoercionAction.Fail);
    texts.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
  }

  /** Reads a body, or says in one sentence what is wrong with it. */
  static Either<String, CompletionBody> read(byte[] bytes) {
    try {
      CompletionBody body = READER.readValue(bytes);
      return body == null ? Either.left("The body must be a JSON object.") : check(body);
    } catch (JsonProcessingException e) {
      return Either.left("The body is not a valid JSON object: " + firstLine(e) + ".");
    } catch (IOException e) {
      return Either.left("The body is not valid UTF-8 text.");
    }
  }

  private static Either<String, CompletionBody> check(CompletionBody body) {
    if (body.model == null || body.model.isBlank()) {
      return Either.left("'model' is required.");
    }
    return body.prompt == null ? Either.left("'prompt' is required.") : Either.right(body);
  }

  private static String firstLine(JsonProcessingException error) {
    return error.getOriginalMessage().lines().findFirst().orElse("no detail");
  }
}
