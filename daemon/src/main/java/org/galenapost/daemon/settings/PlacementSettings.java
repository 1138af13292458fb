package org.galenapost.daemon.settings;

/**
 * What the choice of servers takes into account.
 *
 * @param prefersHeldPrompts whether servers that hold the beginning of a call's prompt are
 *     preferred
 */
public record PlacementSettings(boolean prefersHeldPrompts) {

  static PlacementSettings bind(SectionReader section) {
    return new PlacementSettings(section.flag("prefer_held_prompts", false));
  }
}
