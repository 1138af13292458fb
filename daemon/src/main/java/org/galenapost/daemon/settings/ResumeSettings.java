package org.galenapost.daemon.settings;

import java.time.Duration;
import java.util.List;

/**
 * How resume handles are authenticated. The first key signs new handles. Every key verifies them,
 * so that keys can be replaced without invalidating handles in use.
 *
 * @param handleTtl how long a handle is accepted
 * @param keys the keys, the signing key first
 */
public record ResumeSettings(Duration handleTtl, List<ResumeKeySettings> keys) {

  private static final Duration DEFAULT_HANDLE_TTL = Duration.ofMinutes(15);
  private static final Duration MIN_HANDLE_TTL = Duration.ofSeconds(1);
  private static final Duration MAX_HANDLE_TTL = Duration.ofDays(1);

  /** Makes a defensive copy of the keys. */
  public ResumeSettings {
    keys = List.copyOf(keys);
  }

  static ResumeSettings bind(SectionReader section) {
    List<ResumeKeySettings> keys = section.sections("keys", ResumeKeySettings::bind);
    if (keys.isEmpty()) {
      section.addFault("keys", "at least one key with id and secret", "nothing");
    }
    long distinctIds = keys.stream().map(ResumeKeySettings::id).distinct().count();
    if (distinctIds < keys.size()) {
      section.addFault("keys", "keys with different ids", "a duplicate id");
    }
    return new ResumeSettings(
        section.durationMs("handle_ttl_ms", DEFAULT_HANDLE_TTL, MIN_HANDLE_TTL, MAX_HANDLE_TTL),
        keys);
  }
}
