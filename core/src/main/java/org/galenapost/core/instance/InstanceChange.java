package org.galenapost.core.instance;

import java.util.Locale;
import java.util.Objects;

/**
 * A change of the state of an instance in the directory.
 *
 * @param instance the instance
 * @param kind the kind of the change
 */
public record InstanceChange(ServerInstance instance, Kind kind) {

  /** Checks that both parts are present. */
  public InstanceChange {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(kind, "kind");
  }

  /** The kind of a change. */
  public enum Kind {
    /** A new instance was announced. */
    APPEARED,
    /** The instance accepts no new calls. */
    LEAVING,
    /** The entry of the instance was removed. */
    LAPSED,
    /** Another instance answers at the address of this one. */
    REPLACED;

    /** Returns the name used in logs. */
    public String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
