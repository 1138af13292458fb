package org.galenapost.core.configuration;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/** Names the kinds of object that daemons follow at the platform. */
public enum ConfigurationKind {
  PROFILE("profile"),
  WORKSPACE("workspace"),
  SERVER("server"),
  MODEL("model"),
  PLACEMENT("placement"),
  /** The gateway's routes, services, limits and workspaces, in one object. */
  GATEWAY("gateway"),
  /** The running servers behind the gateway, which announce themselves. */
  INSTANCE("instance");

  /** The kinds of a daemon that serves completions. */
  public static final Set<ConfigurationKind> COMPLETION_KINDS =
      Collections.unmodifiableSet(EnumSet.range(PROFILE, PLACEMENT));

  /** The kinds of a daemon that serves as a gateway. */
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

  /** Returns the kind that operators write under a name of the platform's object API. */
  public static Optional<ConfigurationKind> of(String wireName) {
    return COMPLETION_KINDS.stream().filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }
}
