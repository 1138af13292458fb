package org.galenapost.daemon.settings;

import java.time.Duration;
import java.util.List;

/**
 * How resume handles are authenticated. The first key signs; every key verifies, so that keys can
 * be replaced one after the other.
 *
 * @param handleTtl how long a handle is accepted
 * @param keys the keys
 */
public record ResumeSettings(Duration handleTtl, List<ResumeKeySettings> keys) {

  private static final Duration DEFAULT_HANDLE_TTL = Duration.ofMinutes(15);
  private static final Duration MIN_HANDLE_TTL = Duration.ofSeconds(1);
  private static final Duration MAX_HANDLE_TTL = Duration.ofDays(1);

  /** Copies the keys. */
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
      section.addFault("keys", "keys with different ids", "one id twice");
    }
    return new ResumeSettings(
        section.durationMs("handle_ttl_ms", DEFAULT_HANDLE_TTL, MIN_HANDLE_TTL, MAX_HANDLE_TTL),
        keys);
  }
}
