package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The timeouts and drain times of the gateway.
 *
 * @param connectTimeout how long opening a connection to a server may take
 * @param lapsedUse how long a server whose entry was removed may still receive calls if no other
 *     server can
 * @param serverEntryTimeout the time after which the entry of a server that has ended is gone
 * @param drainNotice how long a draining daemon is not ready but still accepts requests, so that
 *     the balancer can remove it first
 * @param drainLimit how long a draining daemon then waits for requests in progress
 */
public record GatewayTimings(
    Duration connectTimeout,
    Duration lapsedUse,
    Duration serverEntryTimeout,
    Duration drainNotice,
    Duration drainLimit) {

  private static final Duration MIN = Duration.ofMillis(10);
  private static final Duration MAX = Duration.ofHours(1);
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(150);
  private static final Duration DEFAULT_SERVER_DRAIN = Duration.ofMillis(2_000);
  private static final Duration DEFAULT_SERVER_CHECK_IN = Duration.ofMillis(1_200);

  /** The store removes the entry of a server that has missed as many check-ins. */
  private static final int MISSED_CHECK_INS = 3;

  /** The time until a removed entry has reached all daemons. */
  private static final Duration REMOVAL_DELAY = Duration.ofMillis(400);

  private static final Duration DEFAULT_DRAIN_NOTICE = Duration.ofMillis(2_500);
  private static final Duration DEFAULT_STOP_LIMIT = Duration.ofMillis(7_800);

  /** A call that is sent last needs the rest of the time to reach the server. */
  private static final double LAPSED_USE_SHARE = 0.75;

  /** Lets the process end before it is killed. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(300);

  static GatewayTimings bind(SectionReader section) {
    Duration serverDrain =
        section.durationMs("server_drain_ms", DEFAULT_SERVER_DRAIN, Duration.ZERO, MAX);
    Duration lapsedUse = Duration.ofMillis((long) (LAPSED_USE_SHARE * serverDrain.toMillis()));
    Duration serverCheckIn =
        section.durationMs("server_check_in_ms", DEFAULT_SERVER_CHECK_IN, MIN, MAX);
    Duration stopLimit =
        section.durationSeconds("stop_limit_s", DEFAULT_STOP_LIMIT, STOP_MARGIN, MAX);
    Duration drainNotice =
        atMost(
            section.durationMs("drain_notice_ms", DEFAULT_DRAIN_NOTICE, Duration.ZERO, MAX),
            stopLimit.minus(STOP_MARGIN));
    Duration drainLimit = stopLimit.minus(STOP_MARGIN).minus(drainNotice);
    return new GatewayTimings(
        section.durationMs("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT, MIN, MAX),
        section.durationMs("lapsed_use_ms", lapsedUse, Duration.ZERO, MAX),
        serverCheckIn.multipliedBy(MISSED_CHECK_INS).plus(REMOVAL_DELAY),
        drainNotice,
        section.durationMs("drain_limit_ms", drainLimit, Duration.ZERO, MAX));
  }

  private static Duration atMost(Duration duration, Duration limit) {
    return duration.compareTo(limit) < 0 ? duration : limit;
  }
}
