package org.galenapost.daemon.gateway.run;

import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.gateway.upstream.SendFailure;

/** Records the servers that one call lost, and whether the call may have crashed them. */
final class ServerLosses {

  private final GatewayContext context;
  private final AcceptedCall call;
  private final EventRelay relay;
  private final Sender sender;
  private final PromptPartCheck promptParts;
  private final CallLog log;

  ServerLosses(
      GatewayContext context,
      AcceptedCall call,
      EventRelay relay,
      Sender sender,
      PromptPartCheck promptParts,
      CallLog log) {
    this.context = context;
    this.call = call;
    this.relay = relay;
    this.sender = sender;
    this.promptParts = promptParts;
    this.log = log;
  }

  /**
   * Returns whether the call is retried only when the loss has been attributed, since it may have
   * crashed the server and may crash the next one. A stream that has begun is less suspect and must
   * go on at once.
   */
  boolean mustBeAttributedBeforeRetry(Attempt attempt) {
    return call.route().allowsRetry() && attempt.eventCount() == 0;
  }

  /** Records a failed send in the health of its server, for this daemon and the others. */
  void recordFailure(ServerInstance instance, SendFailure failure) {
    if (failure.suggestsLinkDown()) {
      context.serverReach().recordFailure(instance);
    }
    switch (failure.cause()) {
      case REFUSED -> context.statusBroadcaster().onRefused(instance);
      case MALFORMED -> context.health().recordFailure(instance.key());
      default -> context.statusBroadcaster().onLost(instance);
    }
  }

  /**
   * Attributes the loss of a server to the call if its host does not accept connections either,
   * while those of other servers do. A reset by a live server says nothing about the call. The call
   * stays isolated on the server until the probes end.
   */
  void attribute(Attempt attempt, Runnable onAttributed) {
    int offset = (int) Math.min(Integer.MAX_VALUE, relay.offset());
    context
        .probes()
        .probe(
            attempt.instance(),
            isReachable -> {
              log.logServerChecked(attempt, isReachable);
              if (isReachable) {
                sender.releaseIsolation(attempt);
                onAttributed.run();
              } else {
                attributeUnlessCutOff(attempt, offset, onAttributed);
              }
            });
  }

  /** A daemon that reaches no server of the service has lost its links, not the server. */
  private void attributeUnlessCutOff(Attempt attempt, int offset, Runnable onAttributed) {
    String server = attempt.instance().key().text();
    context
        .serverReach()
        .check(
            call.service().name(),
            isServiceReached -> {
              if (isServiceReached) {
                context
                    .requestGuard()
                    .onServerLost(server, call.digest(), offset, attempt.eventCount() == 0);
                promptParts.onServerLost(server, attempt.eventCount());
              } else {
                sender.releaseIsolation(attempt);
              }
              onAttributed.run();
            });
  }
}
