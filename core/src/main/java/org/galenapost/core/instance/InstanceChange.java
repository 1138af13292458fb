package org.galenapost.core.instance;

import java.util.Locale;
import java.util.Objects;

/**
 * A change of what is believed of an instance.
 *
 * @param instance the instance
 * @param kind what changed
 */
public record InstanceChange(ServerInstance instance, Kind kind) {

  /** Checks that both parts are present. */
  public InstanceChange {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(kind, "kind");
  }

  /** What may change. */
  public enum Kind {
    /** A new start of a server. */
    APPEARED,
    /** It takes no new work. */
    LEAVING,
    /** Its entry is gone. */
    LAPSED,
    /** Another instance answers at its address. */
    REPLACED;

    /** Returns the name used in logs. */
    public String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
