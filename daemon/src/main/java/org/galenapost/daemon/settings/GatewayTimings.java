package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The timeouts and drain times of the gateway.
 *
 * @param connectTimeout how long opening a connection to a server may take
 * @param lapsedUse how long a server whose entry was removed may still receive calls if no other
 *     server can
 * @param drainNotice how long a draining daemon is not ready but still accepts requests, so that
 *     the balancer can remove it first
 * @param drainLimit how long a draining daemon then waits for requests in progress
 */
public record GatewayTimings(
    Duration connectTimeout, Duration lapsedUse, Duration drainNotice, Duration drainLimit) {

  private static final Duration MIN = Duration.ofMillis(10);
  private static final Duration MAX = Duration.ofHours(1);
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(150);
  private static final Duration DEFAULT_LAPSED_USE = Duration.ofMillis(1_500);
  private static final Duration DEFAULT_DRAIN_NOTICE = Duration.ofMillis(2_500);
  private static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofMillis(5_000);

  static GatewayTimings bind(SectionReader section) {
    return new GatewayTimings(
        section.durationMs("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT, MIN, MAX),
        section.durationMs("lapsed_use_ms", DEFAULT_LAPSED_USE, Duration.ZERO, MAX),
        section.durationMs("drain_notice_ms", DEFAULT_DRAIN_NOTICE, Duration.ZERO, MAX),
        section.durationMs("drain_limit_ms", DEFAULT_DRAIN_LIMIT, Duration.ZERO, MAX));
  }
}
