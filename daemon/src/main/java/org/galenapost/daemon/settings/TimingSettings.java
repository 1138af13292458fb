package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The timeouts and drain times of the daemon.
 *
 * @param idleTimeout how long a caller's connection may stay open without a complete request head
 * @param bodyTimeout how long a caller may take to send a request body
 * @param slowReaderTimeout how long a caller may leave a response unread
 * @param connectTimeout how long opening a connection to a backend server may take
 * @param keepAliveInterval how often the daemon sends a comment on an idle event stream
 * @param drainNotice how long a draining daemon is not ready but still accepts requests, so that
 *     the balancer can remove it first
 * @param drainLimit how long a draining daemon then waits for requests in progress
 */
public record TimingSettings(
    Duration idleTimeout,
    Duration bodyTimeout,
    Duration slowReaderTimeout,
    Duration connectTimeout,
    Duration keepAliveInterval,
    Duration drainNotice,
    Duration drainLimit) {

  private static final Duration MIN = Duration.ofMillis(10);
  private static final Duration MAX = Duration.ofHours(1);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration DEFAULT_BODY_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration DEFAULT_SLOW_READER_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_KEEP_ALIVE_INTERVAL = Duration.ofSeconds(10);
  private static final Duration DEFAULT_DRAIN_NOTICE = Duration.ofSeconds(5);
  private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofMinutes(10);

  static TimingSettings bind(SectionReader section) {
    return new TimingSettings(
        section.durationMs("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT, MIN, MAX),
        section.durationMs("body_timeout_ms", DEFAULT_BODY_TIMEOUT, MIN, MAX),
        section.durationMs("slow_reader_timeout_ms", DEFAULT_SLOW_READER_TIMEOUT, MIN, MAX),
        section.durationMs("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT, MIN, MAX),
        section.durationMs("keep_alive_interval_ms", DEFAULT_KEEP_ALIVE_INTERVAL, MIN, MAX),
        section.durationMs("drain_notice_ms", DEFAULT_DRAIN_NOTICE, Duration.ZERO, MAX),
        section.durationMs("drain_limit_ms", DEFAULT_DRAIN_LIMIT, Duration.ZERO, MAX));
  }
}
