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
 * @param priority the priority; 0 is the highest
 * @param targets the services that share the calls by weight
 * @param maxServers the maximum number of servers that may run one call
 * @param isOpen whether callers may omit the key
 * @param isResumable whether another server may resume a stream
 * @param eventPatienceMs how long callers wait for the next event of a stream, or for the first
 *     one, before they leave, in milliseconds; empty if they wait until their deadline
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    long timeoutMs,
    int priority,
    List<RouteTarget> targets,
    int maxServers,
    boolean isOpen,
    boolean isResumable,
    OptionalLong eventPatienceMs) {

  /**
   * Checks that every part is present. A daemon of an older build passes routes on that do not name
   * the patience of callers.
   */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(pathPrefix, "pathPrefix");
    Objects.requireNonNull(kind, "kind");
    eventPatienceMs = Objects.requireNonNullElseGet(eventPatienceMs, OptionalLong::empty);
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
