package org.galenapost.core.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.profile.Urgency;

/**
 * The properties of a request by which a backend server is chosen.
 *
 * @param target the model of a generation or the name of a plain service
 * @param isService whether the target is a plain service
 * @param adapter the adapter, if any
 * @param version the required model version, if pinned
 * @param prefixDigest a digest of the prompt's prefix, for cache affinity
 * @param urgency the urgency of the profile
 * @param excludedServerIds servers that must not be chosen
 * @param isResume whether it resumes a generation after the loss of its server
 */
public record RouteRequest(
    String target,
    boolean isService,
    Optional<String> adapter,
    Optional<String> version,
    Optional<String> prefixDigest,
    Urgency urgency,
    Set<String> excludedServerIds,
    boolean isResume) {

  /** Checks the arguments and copies the excluded servers. */
  public RouteRequest {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(prefixDigest, "prefixDigest");
    Objects.requireNonNull(urgency, "urgency");
    excludedServerIds = Set.copyOf(excludedServerIds);
  }
}
