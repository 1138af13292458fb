package org.galenapost.core.peer;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.galenapost.core.time.Scheduler;

/**
 * Sends requests to other daemons, matches the replies of one type and times out.
 *
 * @param <A> the reply type
 */
public final class PeerCalls<A extends PeerReply> {

  private final PeerBus bus;
  private final Scheduler scheduler;
  private final Duration timeout;
  private final AtomicLong nextRequestId = new AtomicLong(1);
  private final Map<Long, PendingCall<A>> pendingCalls = new ConcurrentHashMap<>();

  /**
   * Creates the calls and registers the handler of the replies.
   *
   * @param bus the message transport
   * @param scheduler runs the timeouts
   * @param replyType the reply type
   * @param timeout the maximum wait for a reply
   */
  public PeerCalls(PeerBus bus, Scheduler scheduler, Class<A> replyType, Duration timeout) {
    this.bus = Objects.requireNonNull(bus, "bus");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.timeout = Objects.requireNonNull(timeout, "timeout");
    bus.onMessage(replyType, this::complete);
  }

  /**
   * Sends a request and awaits its reply.
   *
   * @param daemonId the id of the receiver
   * @param request creates the request with the given request id
   * @return the reply; empty after the timeout
   */
  public CompletionStage<Optional<A>> call(String daemonId, LongFunction<PeerRequest> request) {
    long requestId = nextRequestId.getAndIncrement();
    CompletableFuture<Optional<A>> future = new CompletableFuture<>();
    Scheduler.Cancellable timer = scheduler.schedule(timeout, () -> expire(requestId));
    pendingCalls.put(requestId, new PendingCall<>(daemonId, future, timer));
    bus.send(daemonId, request.apply(requestId));
    return future;
  }

  private void complete(String senderId, A reply) {
    PendingCall<A> call = pendingCalls.get(reply.requestId());
    if (call == null || !call.daemonId().equals(senderId)) {
      return;
    }
    if (pendingCalls.remove(reply.requestId(), call)) {
      call.timer().cancel();
      call.future().complete(Optional.of(reply));
    }
  }

  private void expire(long requestId) {
    PendingCall<A> call = pendingCalls.remove(requestId);
    if (call != null) {
      call.future().complete(Optional.empty());
    }
  }

  private record PendingCall<A>(
      String daemonId, CompletableFuture<Optional<A>> future, Scheduler.Cancellable timer) {}
}
