package org.galenapost.daemon.gateway.run;

import java.util.Optional;
import java.util.function.Consumer;
import org.galenapost.daemon.gateway.call.HandoverTicket;

/** Counts the sends of one call and decides whether it may be sent again. */
final class CallRetries {

  /** Servers that have refused a call in such number show that the service has no room. */
  private static final int MAX_REFUSED_SENDS = 8;

  /** More runs that are cut off suggest that the call or the links of the daemon are the cause. */
  private static final int MAX_CUT_OFF_RUNS = 4;

  /** Spreads the connection attempts of a call over time while most servers accept none. */
  private static final int MAX_FAILED_CONNECTS_PER_CHECK = 20;

  private final GatewayContext context;
  private final AcceptedCall call;
  private final CallLog log;
  private int runCount;
  private boolean isFirstSendCounted;
  private int cutOffRuns;
  private int refusedSends;
  private int failedConnects;
  private int failedConnectsSinceCheck;
  private Optional<RetryCause> lastCause = Optional.empty();

  CallRetries(GatewayContext context, AcceptedCall call, CallLog log) {
    this.context = context;
    this.call = call;
    this.log = log;
    this.runCount = call.handover().map(HandoverTicket::runCount).orElse(0);
    this.isFirstSendCounted =
        call.handover().filter(HandoverTicket::isFirstSendCounted).isPresent();
  }

  /** Counts the first send of the call to a server, over all daemons that try it. */
  void recordSend() {
    if (!isFirstSendCounted) {
      isFirstSendCounted = true;
      context.budget().onFirstSend(call.service().name());
    }
  }

  boolean isFirstSendCounted() {
    return isFirstSendCounted;
  }

  int runCount() {
    return runCount;
  }

  /** Records that a server ran the call, or may have. */
  void recordRun(RetryCause cause) {
    runCount++;
    lastCause = Optional.of(cause);
  }

  /** Records that the server of a run ended or was cut off, which does not count as a server. */
  void recordCutOffRun() {
    cutOffRuns++;
    lastCause = Optional.of(RetryCause.CUT_OFF);
  }

  /** Records that a server refused the call without running it. */
  void recordRefusal() {
    refusedSends++;
    lastCause = Optional.of(RetryCause.REFUSED);
  }

  /** Records that another daemon sent the call, and refused it since no server took it. */
  void recordRefusedHandover() {
    isFirstSendCounted = true;
    recordRefusal();
  }

  /** Records that the daemon that took the call over was lost and may have sent it. */
  void recordLostHandover() {
    isFirstSendCounted = true;
  }

  /**
   * Records that no connection could be opened, which costs the servers nothing and does not use
   * the retry budget.
   *
   * @return whether another server may be tried before the next check
   */
  boolean recordFailedConnect() {
    failedConnects++;
    failedConnectsSinceCheck++;
    return failedConnectsSinceCheck < MAX_FAILED_CONNECTS_PER_CHECK;
  }

  /** Records that the call, which waits for a server, looks for one again. */
  void recordCheck() {
    failedConnectsSinceCheck = 0;
  }

  /** Returns the number of sends so far. */
  int sendCount() {
    return runCount + cutOffRuns + refusedSends + failedConnects;
  }

  /** Returns why the next send is a retry, which uses the budget; empty if it is none. */
  Optional<RetryCause> nextSendCause() {
    return lastCause;
  }

  /** Acquires a retry of this daemon's own share, if the call may be sent again at all. */
  boolean tryAcquire() {
    return isWithinLimits() && context.budget().tryRetry(call.service().name());
  }

  /**
   * Acquires a retry, if need be of another daemon's share.
   *
   * @param onResult receives whether the call may be sent again, at once or after some milliseconds
   */
  void acquire(Consumer<Boolean> onResult) {
    if (!isWithinLimits()) {
      context.meters().recordRefusedRetry("attempts");
      onResult.accept(false);
    } else if (tryAcquire()) {
      onResult.accept(true);
    } else {
      context
          .retryLoans()
          .borrow(
              call.service().name(),
              isGranted -> {
                if (!isGranted) {
                  context.meters().recordRefusedRetry("budget");
                }
                log.logRetryBorrowed(isGranted);
                onResult.accept(isGranted);
              });
    }
  }

  private boolean isWithinLimits() {
    return runCount < Math.max(1, call.route().maxServers())
        && cutOffRuns < MAX_CUT_OFF_RUNS
        && refusedSends < MAX_REFUSED_SENDS;
  }
}
