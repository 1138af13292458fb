package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.dispatch.CallerTime;
import org.galenapost.core.dispatch.PlacementUrgency;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.route.GatewayWorkspace;
import org.galenapost.core.route.Route;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.daemon.gateway.call.CallHead;
import org.galenapost.daemon.gateway.call.HandoverTicket;

/**
 * A validated call with the route and service that the configuration selects for it.
 *
 * @param head the head of the request
 * @param body the request body
 * @param route the matching route
 * @param service the target service
 * @param origin where the stream began that the call resumes; empty for other calls
 * @param handover the ticket of the daemon that handed the call over, if one did
 * @param workspace the workspace of the caller's key; empty if the route requires no key
 * @param digest the digest of the request, equal for all of the caller's attempts
 * @param servicePriorities the priorities of the routes of the target service
 * @param configurationVersion the version of the configuration that the call was validated against
 * @param startNanos when the head was read, a reading of the monotonic clock in nanoseconds
 * @param deadlineNanos when the response is due, on the same clock in nanoseconds
 */
public record AcceptedCall(
    CallHead head,
    byte[] body,
    Route route,
    TargetService service,
    Optional<StreamOrigin> origin,
    Optional<HandoverTicket> handover,
    Optional<GatewayWorkspace> workspace,
    RequestDigest digest,
    Set<Integer> servicePriorities,
    long configurationVersion,
    long startNanos,
    long deadlineNanos) {

  /**
   * A stream runs for up to its timeout before it breaks, and its caller returns within another.
   */
  private static final int MAX_STREAM_TIMEOUTS = 2;

  /** Checks that no component is null. */
  public AcceptedCall {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(origin, "origin");
    Objects.requireNonNull(handover, "handover");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(digest, "digest");
    servicePriorities = Set.copyOf(servicePriorities);
  }

  /** Returns the workspace's own priority, else the route's; 0 is the highest. */
  public int priority() {
    return workspace
        .map(GatewayWorkspace::priority)
        .filter(priority -> priority.isPresent())
        .map(priority -> priority.getAsInt())
        .orElse(route.priority());
  }

  /** Returns how much of a server the call may fill; one that goes on with a stream may fill it. */
  public PlacementUrgency urgency() {
    return head.resumeAfter().isPresent()
        ? PlacementUrgency.FULL
        : PlacementUrgency.of(priority(), servicePriorities);
  }

  /** Returns a copy that goes on with a stream where it began. */
  AcceptedCall boundTo(TargetService originService, StreamOrigin streamOrigin) {
    return new AcceptedCall(
        head,
        body,
        route,
        originService,
        Optional.of(streamOrigin),
        handover,
        workspace,
        digest,
        servicePriorities,
        configurationVersion,
        startNanos,
        deadlineNanos);
  }

  /** Returns the versions at which a stream of this call may have begun. */
  Set<String> versionsOfService(InstanceDirectory directory) {
    return directory.softwareVersions(
        service.name(), Duration.ofMillis(MAX_STREAM_TIMEOUTS * route.timeoutMs()));
  }

  /**
   * Returns the time that the caller allows. The caller of a stream leaves before the deadline if
   * it waits too long for an event.
   *
   * @param lastEventNanos when the caller got the latest event, or when the call started, on the
   *     monotonic clock in nanoseconds
   */
  CallerTime callerTime(long lastEventNanos) {
    return route.eventPatienceMs().isPresent()
        ? CallerTime.until(
            deadlineNanos,
            lastEventNanos + Duration.ofMillis(route.eventPatienceMs().getAsLong()).toNanos())
        : CallerTime.until(deadlineNanos);
  }

  /** Returns the time until the response is due. */
  Duration remaining(MonotonicClock clock) {
    return Duration.ofNanos(deadlineNanos - clock.nanos());
  }

  /** Returns the time that the caller has left, also if its route allows the call less. */
  Duration callerTimeLeft(MonotonicClock clock) {
    long waitMs = head.waitMs().orElse(route.timeoutMs());
    return Duration.ofMillis(waitMs).minus(clock.since(startNanos));
  }

  ByteBuf bodyBuffer() {
    return Unpooled.wrappedBuffer(body);
  }
}
