package org.galenapost.core.route;

/**
 * Limits on the size and duration of requests of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and of the header block, each in bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headerTimeoutMs the maximum time from the first byte of a request head to its end, in
 *     milliseconds
 * @param idleTimeoutMs the maximum time that a connection may be idle, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long DEFAULT_HEADER_TIMEOUT_MS = 3_000;
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 15_000;

  /** Returns the limits that apply while no configuration is in force. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT_MS,
        DEFAULT_IDLE_TIMEOUT_MS);
  }
}
