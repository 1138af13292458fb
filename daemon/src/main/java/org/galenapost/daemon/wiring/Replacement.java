package org.galenapost.daemon.wiring;

/**
 * Replaces the standard implementation of a mechanism.
 *
 * @param <T> the type of the mechanism
 */
@FunctionalInterface
public interface Replacement<T> {

  /**
   * Returns the implementation to use.
   *
   * @param standard the standard implementation
   * @param context the objects from which the replacement may be built
   */
  T replace(T standard, DaemonContext context);

  /** Returns a replacement that keeps the standard implementation. */
  static <T> Replacement<T> none() {
    return (standard, context) -> standard;
  }
}
