package org.galenapost.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * The handling of calls to one host and path prefix.
 *
 * @param name the unique name
 * @param host the host that callers address, in lower case
 * @param pathPrefix the prefix of the path
 * @param kind how often a call may run
 * @param timeoutMs the maximum time that a call may take, in milliseconds
 * @param latencyTargetMs the latency up to which an answer has its full value, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param targets the services that share the calls by weight
 * @param maxServers the maximum number of servers that may run one call
 * @param isOpen whether callers may omit the key
 * @param isResumable whether another server may resume a stream
 * @param gapTargetMs the target for the maximum time between two events, in milliseconds
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    long timeoutMs,
    long latencyTargetMs,
    int priority,
    List<RouteTarget> targets,
    int maxServers,
    boolean isOpen,
    boolean isResumable,
    OptionalLong gapTargetMs) {

  /** Checks that every part is present. */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(pathPrefix, "pathPrefix");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(gapTargetMs, "gapTargetMs");
    targets = List.copyOf(targets);
  }

  /** Returns whether a call may be retried on another server after it has run on one. */
  public boolean allowsRetry() {
    return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable);
  }

  /**
   * Returns the service for a call, selected by weight.
   *
   * @param uniformDraw a uniform random number from 0 (inclusive) to 1 (exclusive)
   */
  public String serviceFor(double uniformDraw) {
    int totalWeight = targets.stream().mapToInt(RouteTarget::weight).sum();
    double remainingWeight = uniformDraw * totalWeight;
    for (RouteTarget target : targets) {
      remainingWeight -= target.weight();
      if (remainingWeight < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
