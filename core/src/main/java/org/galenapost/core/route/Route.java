package org.galenapost.core.route;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * How the calls of one host and path prefix are treated.
 *
 * @param name the unique name
 * @param host the host that callers name, in lower case
 * @param pathPrefix the beginning of the path
 * @param kind what may be repeated
 * @param timeoutMs the longest time that a caller is kept waiting, in milliseconds
 * @param latencyTargetMs the time within which an answer has its full worth, in milliseconds
 * @param priority the rank, 0 first
 * @param targets the services that share the calls
 * @param maxServers the number of servers that may run one call
 * @param isOpen whether callers need no key
 * @param isResumable whether another server may continue a stream
 * @param gapTargetMs the longest pause between events that is still on time, in milliseconds
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

  /** Returns whether a call may run on a second server after it has run on a first one. */
  public boolean allowsRetry() {
    return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable);
  }

  /**
   * Returns the service that takes a call.
   *
   * @param draw a uniformly drawn number from 0 up to, but not including, 1
   */
  public String serviceFor(double draw) {
    int total = targets.stream().mapToInt(RouteTarget::weight).sum();
    double rest = draw * total;
    for (RouteTarget target : targets) {
      rest -= target.weight();
      if (rest < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
