package org.galenapost.core.configuration;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/** The kinds of configuration object that daemons follow at the platform. */
public enum ConfigurationKind {
  PROFILE("profile"),
  WORKSPACE("workspace"),
  SERVER("server"),
  MODEL("model"),
  PLACEMENT("placement"),
  /** The gateway's routes, services, limits and workspaces in a single object. */
  GATEWAY("gateway"),
  /** The running backend servers of the gateway, which register themselves. */
  INSTANCE("instance");

  /** The kinds that a daemon serving completions follows. */
  public static final Set<ConfigurationKind> COMPLETION_KINDS =
      Collections.unmodifiableSet(EnumSet.range(PROFILE, PLACEMENT));

  /** The kinds that a daemon running as a gateway follows. */
  public static final Set<ConfigurationKind> GATEWAY_KINDS =
      Collections.unmodifiableSet(EnumSet.of(GATEWAY, INSTANCE));

  private final String wireName;

  ConfigurationKind(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the kind's name in the platform's object API. */
  public String wireName() {
    return wireName;
  }

  /** Returns the kind with this object API name, or empty if operators do not write that kind. */
  public static Optional<ConfigurationKind> of(String wireName) {
    return COMPLETION_KINDS.stream().filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
