package org.galenapost.daemon.caller.filter;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.daemon.caller.CallDigest;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.RequestIds;
import org.galenapost.daemon.caller.Target;

/**
 * Turns completion requests into generations. With an idempotency key, id and seed follow from
 * workspace, key and body, so that every daemon finds the same generation for the same request.
 */
public final class GenerationTargetReader {

  private static final String LAST_EVENT_ID_HEADER = "Last-Event-ID";
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final double DEFAULT_TEMPERATURE = 1.0;
  private static final double DEFAULT_TOP_P = 1.0;
  private static final double MAX_TEMPERATURE = 2.0;
  private static final int GENERATION_ID_BYTES = 16;

  private final RandomGenerator random;
  private final int maxTokensLimit;

  /**
   * Creates generations.
   *
   * @param random draws seeds; used by several threads
   * @param maxTokensLimit the most tokens that a request may ask for
   */
  public GenerationTargetReader(RandomGenerator random, int maxTokensLimit) {
    this.random = random;
    this.maxTokensLimit = maxTokensLimit;
  }

  /** Reads the generation that an exchange asks for, or says what is wrong with it. */
  Either<String, Target> read(Exchange exchange) {
    return CompletionBody.read(exchange.request().body())
        .flatMap(this::checkRanges)
        .map(body -> toTarget(exchange, body));
  }

  private Either<String, CompletionBody> checkRanges(CompletionBody body) {
    int maxTokens = body.maxTokens().orElse(DEFAULT_MAX_TOKENS);
    if (maxTokens < 1 || maxTokens > maxTokensLimit) {
      return Either.left("'max_tokens' must be from 1 to " + maxTokensLimit + ".");
    }
    double temperature = body.temperature().orElse(DEFAULT_TEMPERATURE);
    if (!(temperature >= 0 && temperature <= MAX_TEMPERATURE)) {
      return Either.left("'temperature' must be from 0 to " + MAX_TEMPERATURE + ".");
    }
    double topP = body.topP().orElse(DEFAULT_TOP_P);
    return topP > 0 && topP <= 1
        ? Either.right(body)
        : Either.left("'top_p' must be above 0 and at most 1.");
  }

  private Target toTarget(Exchange exchange, CompletionBody body) {
    Optional<byte[]> digest =
        exchange
            .idempotencyKey()
            .map(key -> CallDigest.sha256(workspaceOf(exchange), key, exchange.request().body()));
    GenerationRequest request = toRequest(exchange, body, digest);
    Optional<String> resumeHandle =
        Optional.ofNullable(exchange.request().headers().get(LAST_EVENT_ID_HEADER));
    return new Target.Generation(request, body.stream().orElse(false), resumeHandle);
  }

  private GenerationRequest toRequest(
      Exchange exchange, CompletionBody body, Optional<byte[]> digest) {
    return new GenerationRequest(
        digest.map(GenerationTargetReader::generationIdOf).orElseGet(RequestIds::newGenerationId),
        workspaceOf(exchange),
        exchange.profile().orElseThrow(),
        body.model(),
        body.adapter(),
        body.prompt(),
        body.seed().orElseGet(() -> digest.map(GenerationTargetReader::seedOf).orElseGet(this::randomSeed)),
        body.temperature().orElse(DEFAULT_TEMPERATURE),
        body.topP().orElse(DEFAULT_TOP_P),
        body.maxTokens().orElse(DEFAULT_MAX_TOKENS),
        exchange.deadlineNanos(),
        digest.isPresent());
  }

  private long randomSeed() {
    return random.nextLong(Integer.MAX_VALUE);
  }

  private static String workspaceOf(Exchange exchange) {
    return exchange.workspace().orElseThrow().name();
  }

  private static String generationIdOf(byte[] digest) {
    return "g-" + HexFormat.of().formatHex(digest, 0, GENERATION_ID_BYTES);
  }

  private static long seedOf(byte[] digest) {
    return ByteBuffer.wrap(digest).getInt(GENERATION_ID_BYTES) & Integer.MAX_VALUE;
  }
}
