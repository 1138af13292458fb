package org.galenapost.daemon.settings;

/**
 * The resource limits of a daemon.
 *
 * @param maxConnections the maximum number of open caller connections
 * @param maxHeaderBytes the maximum length of the request line, and of the header block, in bytes
 * @param maxBodyBytes the maximum length of a request body, in bytes
 * @param maxAnswerBytes the maximum length of the response of a plain service or of a generation
 *     that is not streamed, in bytes
 * @param maxTokens the maximum number of tokens that one generation may request
 * @param streamBufferBytes the number of unsent bytes of a stream at which the daemon stops reading
 *     from the engine; above four times this number it aborts the stream
 * @param explainRequests the number of latest requests whose traces are kept
 * @param weightStoreMegabytesPerSecond the rate of the weight store, shared by all model loads, in
 *     megabytes per second
 */
public record LimitSettings(
    int maxConnections,
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxAnswerBytes,
    int maxTokens,
    int streamBufferBytes,
    int explainRequests,
    int weightStoreMegabytesPerSecond) {

  private static final int KIB = 1024;
  private static final int MIB = 1024 * KIB;
  private static final int DEFAULT_MAX_CONNECTIONS = 2_000;
  private static final int MAX_MAX_CONNECTIONS = 1_000_000;
  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * KIB;
  private static final int DEFAULT_MAX_BODY_BYTES = MIB;
  private static final int DEFAULT_MAX_ANSWER_BYTES = 4 * MIB;
  private static final int DEFAULT_MAX_TOKENS = 65_536;
  private static final int MAX_MAX_TOKENS = 10_000_000;
  private static final int DEFAULT_STREAM_BUFFER_BYTES = 64 * KIB;
  private static final int DEFAULT_EXPLAIN_REQUESTS = 2_000;
  private static final int MAX_EXPLAIN_REQUESTS = 1_000_000;
  private static final int DEFAULT_WEIGHT_STORE_MEGABYTES_PER_SECOND = 10_000;
  private static final int MAX_WEIGHT_STORE_MEGABYTES_PER_SECOND = 100_000_000;

  static LimitSettings bind(SectionReader section) {
    return new LimitSettings(
        section.count("max_connections", DEFAULT_MAX_CONNECTIONS, 1, MAX_MAX_CONNECTIONS),
        section.count("max_header_bytes", DEFAULT_MAX_HEADER_BYTES, KIB, MIB),
        section.count("max_body_bytes", DEFAULT_MAX_BODY_BYTES, KIB, 64 * MIB),
        section.count("max_answer_bytes", DEFAULT_MAX_ANSWER_BYTES, KIB, 256 * MIB),
        section.count("max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_MAX_TOKENS),
        section.count("stream_buffer_bytes", DEFAULT_STREAM_BUFFER_BYTES, KIB, 16 * MIB),
        section.count("explain_requests", DEFAULT_EXPLAIN_REQUESTS, 1, MAX_EXPLAIN_REQUESTS),
        section.count(
            "weight_store_megabytes_per_second",
            DEFAULT_WEIGHT_STORE_MEGABYTES_PER_SECOND,
            1,
            MAX_WEIGHT_STORE_MEGABYTES_PER_SECOND));
  }
}
