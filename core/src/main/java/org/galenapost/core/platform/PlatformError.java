package org.galenapost.core.platform;

import java.util.Optional;

/** The reason why a call to the platform's object API failed. */
public sealed interface PlatformError {

  /** The object does not exist. */
  record NotFound(ObjectKey key) implements PlatformError {}

  /**
   * The expected version of a conditional update is not the current one.
   *
   * @param current the current object, empty if it does not exist
   */
  record Conflict(ObjectKey key, Optional<VersionedObject> current) implements PlatformError {}

  /**
   * The call had no effect: the platform rejected it before applying it, or it was never sent.
   *
   * @param detail a description of the failure
   */
  record Unavailable(String detail) implements PlatformError {}

  /**
   * The platform is over its rate limit. The call had no effect and may be retried after a delay.
   *
   * @param detail the platform's error message
   */
  record Overloaded(String detail) implements PlatformError {}

  /**
   * No answer arrived. A write may have taken effect.
   *
   * @param detail a description of the failure
   */
  record AnswerLost(String detail) implements PlatformError {}

  /**
   * The answer to a read is larger than the caller has memory for.
   *
   * @param detail a description of the failure
   */
  record TooLarge(String detail) implements PlatformError {}

  /**
   * The platform rejected the call as invalid.
   *
   * @param detail the platform's error message
   */
  record Invalid(String detail) implements PlatformError {}
}
