package org.galenapost.daemon.wiring;

import java.util.HashMap;
import java.util.Map;

/**
 * The mechanisms that an experiment may replace by naive ones to measure their effect. No setting
 * replaces a mechanism. A separate program passes the replacements to {@link
 * org.galenapost.daemon.Galenapostd#run(String[], Mechanisms)}:
 *
 * <pre>{@code
 * Mechanisms naive =
 *     Mechanisms.standard()
 *         .with(ActionGate.class, (standard, context) -> new UnclaimedActionGate());
 * }</pre>
 *
 * <p>To make a mechanism replaceable, call {@link #choose} where the wiring creates it.
 */
public final class Mechanisms {

  private static final Mechanisms STANDARD = new Mechanisms(Map.of());

  private final Map<Class<?>, Replacement<?>> replacementsByType;

  private Mechanisms(Map<Class<?>, Replacement<?>> replacementsByType) {
    this.replacementsByType = Map.copyOf(replacementsByType);
  }

  /** Returns the standard mechanisms, without a replacement. */
  public static Mechanisms standard() {
    return STANDARD;
  }

  /**
   * Returns a copy in which one mechanism is replaced.
   *
   * @param type the type that the wiring passes to {@link #choose}
   * @param replacement creates the other implementation
   */
  public <T> Mechanisms with(Class<T> type, Replacement<T> replacement) {
    Map<Class<?>, Replacement<?>> replacements = new HashMap<>(replacementsByType);
    replacements.put(type, replacement);
    return new Mechanisms(replacements);
  }

  /**
   * Returns the implementation to use for a mechanism.
   *
   * @param type the type of the mechanism
   * @param standard the standard implementation
   * @param context the objects from which a replacement may be built
   */
  <T> T choose(Class<T> type, T standard, DaemonContext context) {
    Replacement<?> replacement = replacementsByType.get(type);
    if (replacement == null) {
      return standard;
    }
    return type.cast(replaceUnchecked(replacement, standard, context));
  }

  @SuppressWarnings("unchecked")
  private static <T> T replaceUnchecked(
      Replacement<?> replacement, T standard, DaemonContext context) {
    return ((Replacement<T>) replacement).replace(standard, context);
  }
}
