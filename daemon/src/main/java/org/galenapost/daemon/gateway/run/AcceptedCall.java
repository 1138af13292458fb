package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.route.GatewayWorkspace;
import org.galenapost.core.route.Route;
import org.galenapost.core.route.TargetService;
import org.galenapost.daemon.gateway.call.CallHead;

/**
 * A call that the configuration allows.
 *
 * @param head the head of the request
 * @param body the body
 * @param route the route
 * @param service the service that takes it
 * @param workspace the workspace of the caller's key, if calls need keys
 * @param digest what the caller asked for, whichever attempt it is
 * @param configurationVersion the version that allowed it
 * @param startNanos when the head was read, a reading of the monotonic clock
 * @param deadlineNanos when the call has to be answered
 */
public record AcceptedCall(
    CallHead head,
    byte[] body,
    Route route,
    TargetService service,
    Optional<GatewayWorkspace> workspace,
    RequestDigest digest,
    long configurationVersion,
    long startNanos,
    long deadlineNanos) {

  /** Checks that every part is present. */
  public AcceptedCall {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(digest, "digest");
  }

  /** Returns the rank of the call, 0 first. */
  public int priority() {
    return workspace
        .map(GatewayWorkspace::priority)
        .filter(priority -> priority.isPresent())
        .map(priority -> priority.getAsInt())
        .orElse(route.priority());
  }

  ByteBuf bodyBuffer() {
    return Unpooled.wrappedBuffer(body);
  }
}
