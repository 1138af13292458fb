package org.galenapost.core.action;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerCalls;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Forwards each operation to the preferred daemon of its bucket, so that operations of all daemons
 * share writes. The preference is only a hint: without a conclusive reply, a daemon writes the
 * bucket itself. Conditional updates keep concurrent writes of the same bucket consistent.
 */
public final class ClaimRouter implements ClaimSubmitter {

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);

  private final String ownId;
  private final PeerBus bus;
  private final ClaimSubmitter local;
  private final PeerCalls<ClaimMessage.Result> calls;

  /**
   * Creates a router and registers it for operations of other daemons.
   *
   * @param ownId the id of this daemon
   * @param bus sends operations to other daemons
   * @param scheduler runs the timeouts
   * @param local applies operations on this daemon
   */
  public ClaimRouter(String ownId, PeerBus bus, Scheduler scheduler, ClaimSubmitter local) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    this.bus = Objects.requireNonNull(bus, "bus");
    this.local = Objects.requireNonNull(local, "local");
    this.calls = new PeerCalls<>(bus, scheduler, ClaimMessage.Result.class, REPLY_TIMEOUT);
    bus.onMessage(ClaimMessage.Submit.class, this::onSubmit);
  }

  @Override
  public CompletionStage<ClaimResult> submit(ClaimOperation operation) {
    int bucketId = ClaimLayout.bucketOf(operation.workspace(), operation.key());
    String preferred =
        Rendezvous.choose(ClaimLayout.bucketKey(bucketId).toString(), ownId, bus.livePeerIds());
    if (preferred.equals(ownId)) {
      return local.submit(operation);
    }
    return calls
        .call(preferred, requestId -> new ClaimMessage.Submit(requestId, operation))
        .thenCompose(reply -> onReply(operation, reply));
  }

  private CompletionStage<ClaimResult> onReply(
      ClaimOperation operation, Optional<ClaimMessage.Result> reply) {
    if (reply.isPresent() && isConclusive(reply.get().result())) {
      return CompletableFuture.completedFuture(reply.get().result());
    }
    boolean mayBeStored = reply.isEmpty() || reply.get().result() instanceof ClaimResult.Unresolved;
    return local
        .submit(operation)
        .thenApply(
            result -> mayBeStored && !isConclusive(result) ? new ClaimResult.Unresolved() : result);
  }

  /** Returns whether the platform gave a definite result, which a local attempt cannot change. */
  private static boolean isConclusive(ClaimResult result) {
    boolean isPlatformDown =
        result instanceof ClaimResult.Refused refused
            && refused.refusal().reason() == RefusalReason.PLATFORM_UNAVAILABLE;
    return !isPlatformDown && !(result instanceof ClaimResult.Unresolved);
  }

  private void onSubmit(String sender, ClaimMessage.Submit request) {
    local
        .submit(request.operation())
        .thenAccept(
            result -> bus.send(sender, new ClaimMessage.Result(request.requestId(), result)));
  }
}
