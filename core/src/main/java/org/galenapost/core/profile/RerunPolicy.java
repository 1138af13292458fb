package org.galenapost.core.profile;

/** Determines the response when a rerun does not reproduce the text already delivered. */
public enum RerunPolicy {
  /** Announces a new generation, whose text starts at offset 0. */
  NEW_GENERATION,
  /** Ends the response with an error. */
  ERROR
}
