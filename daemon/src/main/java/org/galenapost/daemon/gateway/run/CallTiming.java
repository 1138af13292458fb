package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import org.galenapost.core.dispatch.CallerTime;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.WorkLeft;
import org.galenapost.core.route.CallKind;
import org.galenapost.daemon.gateway.call.ResponseHead;

/** Compares the time that the caller of one call allows with the work that is left of the call. */
final class CallTiming {

  private final GatewayContext context;
  private final AcceptedCall call;
  private final EventRelay relay;

  /**
   * Creates the timing of a call.
   *
   * @param context the collaborators of all calls
   * @param call the call
   * @param relay knows what the caller has received
   */
  CallTiming(GatewayContext context, AcceptedCall call, EventRelay relay) {
    this.context = context;
    this.call = call;
    this.relay = relay;
  }

  /**
   * Returns how long the call still waits for a server; zero or negative if it waits no longer.
   *
   * @param sinceNanos when it began to wait, on the monotonic clock in nanoseconds
   */
  Duration untilWaitEnds(long sinceNanos) {
    long latestNanos = callerTime().latestWaitNanos(sinceNanos, workLeft());
    return Duration.ofNanos(latestNanos - context.clock().nanos());
  }

  /**
   * Returns until when the call can be sent to a server and be answered in time, on the monotonic
   * clock in nanoseconds.
   *
   * @param choice the server and the expected wait there
   */
  long latestSendNanos(Choice choice) {
    WorkLeft work = workLeft();
    return callerTime()
        .latestSendNanos(
            isStream()
                ? new WorkLeft(
                    choice.expectedTimeToFirstEvent(call.head().demand()), work.afterFirstEvent())
                : work);
  }

  /** Returns when the caller may come back if all places at the servers are taken. */
  Duration untilRoom() {
    return context
        .returnDelay()
        .untilRoom(workLeft().total(), call.callerTimeLeft(context.clock()));
  }

  /** Returns how long a server that refused the call is likely to have no place for it. */
  Duration untilPlaceIsFree() {
    return context.returnDelay().spreadOver(workLeft().total());
  }

  /** Returns when the caller may come back if it is not known when its call can be served. */
  Duration whileNothingIsKnown() {
    return context.returnDelay().whileNothingIsKnown(call.callerTimeLeft(context.clock()));
  }

  private CallerTime callerTime() {
    return call.callerTime(relay.eventCount() > 0 ? relay.lastEventNanos() : call.startNanos());
  }

  private WorkLeft workLeft() {
    return isStream()
        ? context
            .runTimes()
            .workOfStream(
                call.service().name(),
                call.head().demand(),
                context.speeds().averageTokensPerMs(),
                relay.offset())
        : context.runTimes().workOfAnswer(call.service().name());
  }

  private boolean isStream() {
    return call.route().kind() == CallKind.STREAM;
  }

  /** Records a whole answer; only one from a server tells how long servers work. */
  void recordAnswer(Attempt attempt, ResponseHead head) {
    if (head.isSuccess() && !attempt.plan().isHandover()) {
      context.runTimes().onAnswer(call.service().name(), attempt.elapsed());
    }
  }

  /** Records the end of a stream if one server produced all of it. */
  void recordStream(Attempt attempt) {
    boolean isWhole =
        call.head().resumeAfter().isEmpty()
            && attempt.eventCount() > 0
            && attempt.eventCount() == relay.eventCount();
    if (isWhole && !attempt.plan().isHandover()) {
      context
          .runTimes()
          .onStream(
              call.service().name(),
              call.head().demand().outputTokens(),
              attempt.eventCount(),
              attempt.sinceFirstEvent());
    }
  }
}
