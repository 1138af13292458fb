package org.galenapost.daemon.settings;

import java.time.Duration;

/**
 * The connection to the object API of the platform.
 *
 * @param address the address of the API
 * @param requestTimeout the timeout of one call
 * @param watchWait how long the platform holds a watch request open when nothing changes
 * @param isFirstStart whether no daemon of this deployment has run before, so that daemons have
 *     left nothing in the platform's store
 */
public record PlatformSettings(
    SocketAddressSetting address,
    Duration requestTimeout,
    Duration watchWait,
    boolean isFirstStart) {

  private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration MIN_REQUEST_TIMEOUT = Duration.ofMillis(10);
  private static final Duration MAX_REQUEST_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(20);
  private static final Duration DEFAULT_GATEWAY_WATCH_WAIT = Duration.ofSeconds(2);
  private static final Duration MIN_WATCH_WAIT = Duration.ofMillis(10);
  private static final Duration MAX_WATCH_WAIT = Duration.ofHours(24);

  static PlatformSettings bind(SectionReader section) {
    return bind(section, DEFAULT_WATCH_WAIT);
  }

  /** Binds the settings of a gateway, which has to notice soon that a watch hangs. */
  static PlatformSettings bindForGateway(SectionReader section) {
    return bind(section, DEFAULT_GATEWAY_WATCH_WAIT);
  }

  private static PlatformSettings bind(SectionReader section, Duration defaultWatchWait) {
    return new PlatformSettings(
        section.address("address"),
        section.durationMs(
            "request_timeout_ms",
            DEFAULT_REQUEST_TIMEOUT,
            MIN_REQUEST_TIMEOUT,
            MAX_REQUEST_TIMEOUT),
        section.durationMs("watch_wait_ms", defaultWatchWait, MIN_WATCH_WAIT, MAX_WATCH_WAIT),
        section.flag("first_start", false));
  }
}
