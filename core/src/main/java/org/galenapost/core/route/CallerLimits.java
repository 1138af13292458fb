package org.galenapost.core.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the longest request line, and the longest header block
 * @param maxBodyBytes the longest body
 * @param headerTimeoutMs how long a request head may take from its first byte, in milliseconds
 * @param idleTimeoutMs how long a connection may stay without a request, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long DEFAULT_HEADER_TIMEOUT_MS = 3_000;
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 15_000;

  /** Returns the limits that hold while no configuration is in force. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT_MS,
        DEFAULT_IDLE_TIMEOUT_MS);
  }
}
