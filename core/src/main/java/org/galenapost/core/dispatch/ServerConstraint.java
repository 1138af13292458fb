package org.galenapost.core.dispatch;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;

/**
 * Restricts the servers that may be chosen.
 *
 * @param excluded the servers that must not be chosen
 * @param softwareVersion the version that the server must run; empty if any version will do
 * @param deniedVersions the versions that the server must not run
 */
public record ServerConstraint(
    Set<InstanceKey> excluded, Optional<String> softwareVersion, Set<String> deniedVersions) {

  /** Checks that the version is present or empty, and copies the sets. */
  public ServerConstraint {
    excluded = Set.copyOf(excluded);
    deniedVersions = Set.copyOf(deniedVersions);
    Objects.requireNonNull(softwareVersion, "softwareVersion");
  }

  /** Returns a constraint that excludes servers and allows any version. */
  public static ServerConstraint excluding(Set<InstanceKey> excluded) {
    return new ServerConstraint(excluded, Optional.empty(), Set.of());
  }

  /** Returns a copy that requires a version. */
  public ServerConstraint withSoftwareVersion(String version) {
    return new ServerConstraint(excluded, Optional.of(version), deniedVersions);
  }

  /** Returns a copy that denies versions. */
  public ServerConstraint withDeniedVersions(Set<String> versions) {
    return new ServerConstraint(excluded, softwareVersion, versions);
  }

  boolean allows(ServerInstance instance) {
    return !excluded.contains(instance.key())
        && !deniedVersions.contains(instance.softwareVersion())
        && softwareVersion.map(instance::runsVersion).orElse(true);
  }
}
