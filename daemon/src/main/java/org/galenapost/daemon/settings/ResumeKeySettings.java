package org.galenapost.daemon.settings;

/**
 * A key that authenticates resume handles.
 *
 * @param id the number of the key, which the handle contains
 * @param secret the secret that signs and verifies handles
 */
public record ResumeKeySettings(int id, String secret) {

  private static final int MAX_ID = 255;
  private static final int MIN_SECRET_LENGTH = 32;

  static ResumeKeySettings bind(SectionReader section) {
    return new ResumeKeySettings(
        section.requiredCount("id", 0, MAX_ID), section.secret("secret", MIN_SECRET_LENGTH));
  }

  @Override
  public String toString() {
    return "ResumeKeySettings[id=" + id + "]";
  }
}
