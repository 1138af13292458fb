package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.quarantine.Placement;
import org.galenapost.core.route.CallKind;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.SendFailure;

/**
 * Runs one call. Retries failed sends and resumes broken streams on other servers, one send at a
 * time. A call that must not be retried is sent again only if no part of it was handed to a
 * connection, or if the server reports that it did not run the call. Used on one event loop.
 */
public final class CallRun implements Attempt.Listener {

  private static final Duration SERVER_CHECK_INTERVAL = Duration.ofMillis(50);

  private final GatewayContext context;
  private final AcceptedCall call;
  private final GatewayResponseWriter caller;
  private final EventRelay relay;
  private final StreamBinding binding;
  private final Sender sender;
  private final CallLog log;
  private final CallRetries retries;
  private final CallHandover handover;
  private final CallVerdict verdict;
  private final ServerLosses losses;
  private final PromptPartCheck promptParts;
  private final CallTiming timing;
  private final RoomWait roomWait;
  private final Scheduler.Cancellable deadline;
  private final ExcludedServers excluded;
  private Scheduler.Cancellable serverCheckTimer = () -> {};
  private Optional<Attempt> currentAttempt = Optional.empty();
  private long waitingSinceNanos;
  private boolean isResuming;
  private boolean isEnded;

  /**
   * Creates a call and starts its deadline timer.
   *
   * @param context the collaborators of all calls
   * @param call the validated call
   * @param caller the response to the caller
   */
  public CallRun(GatewayContext context, AcceptedCall call, GatewayResponseWriter caller) {
    this.context = context;
    this.call = call;
    this.caller = caller;
    this.relay = new EventRelay(caller, call.head().resumeAfter());
    this.binding = new StreamBinding(context, call);
    this.sender = new Sender(context, call, relay, binding, this);
    this.log = new CallLog(context, call);
    this.retries = new CallRetries(context, call, log);
    this.handover = new CallHandover(context, call);
    this.promptParts =
        new PromptPartCheck(
            context.partQuarantine(), call.head().sharedPartIds(), this::stopCrashingCall);
    this.losses = new ServerLosses(context, call, relay, sender, promptParts, log);
    this.timing = new CallTiming(context, call, relay);
    this.verdict = new CallVerdict(timing);
    this.roomWait = new RoomWait(context, call, timing, this::checkServers, this::reject);
    this.excluded = new ExcludedServers(context.clock());
    this.waitingSinceNanos = call.startNanos();
    Duration remaining = call.remaining(context.clock());
    this.deadline =
        context
            .scheduler()
            .schedule(remaining.isNegative() ? Duration.ZERO : remaining, this::onDeadline);
  }

  /** Chooses a server and sends the call to it. */
  public void start() {
    dispatch();
  }

  private void dispatch() {
    if (isEnded) {
      return;
    }
    if (call.deadlineNanos() - context.clock().nanos() <= 0) {
      onDeadline();
      return;
    }
    Placement placement = context.requestGuard().place(call.digest());
    if (placement instanceof Placement.Refused refused) {
      reject(Refusal.notRun(RefusalReason.CRASHES_SERVERS, refused.refusal().detail()));
      return;
    }
    Optional<Refusal> refusal = promptParts.refusal().or(binding::refusal);
    if (refusal.isPresent()) {
      reject(refusal.get());
      return;
    }
    Optional<SendPlan> handoverPlan = handover.plan();
    if (handoverPlan.isPresent()) {
      send(handoverPlan.get());
      return;
    }
    Optional<Refusal> unreachable = handover.refusal();
    if (unreachable.isPresent()) {
      reject(unreachable.get());
      return;
    }
    Optional<InstanceChooser.Choice> choice =
        roomWait.choose(
            relay.hasStarted(), urgency -> sender.choose(placement, excluded.keys(), urgency));
    if (choice.isPresent()) {
      sendWithPermit(sender.plan(choice.get(), placement, excluded.keys()));
    } else if (!isEnded && !roomWait.isWaiting()) {
      awaitServer();
    }
  }

  /**
   * Looks for a server again. Where a host refused a connection, the server no longer runs; its
   * next start is a server with another key.
   */
  private void checkServers() {
    if (context.isEnding().getAsBoolean() && verdict.isNotRun()) {
      reject(
          Refusal.notRun(RefusalReason.SHUTTING_DOWN, "the daemon ends before a server is there")
              .withRetryAfter(Duration.ZERO));
      return;
    }
    retries.recordCheck();
    excluded.check(context.health()::mayHaveRestarted);
    dispatch();
  }

  private void awaitServer() {
    Duration remaining = timing.untilWaitEnds(waitingSinceNanos);
    Optional<Duration> pause = context.chooser().untilPauseEnds(call.service());
    if (pause.filter(untilEnd -> untilEnd.compareTo(remaining) > 0).isPresent()) {
      reject(
          Refusal.notRun(
                  RefusalReason.NO_SERVER, "the servers of the service want no calls for now")
              .withRetryAfter(pause.get()));
      return;
    }
    if (remaining.isNegative() || remaining.isZero()) {
      reject(Refusal.notRun(RefusalReason.NO_SERVER, "no server of the service takes calls"));
      return;
    }
    Duration untilCheck =
        remaining.compareTo(SERVER_CHECK_INTERVAL) < 0 ? remaining : SERVER_CHECK_INTERVAL;
    serverCheckTimer = context.scheduler().schedule(untilCheck, this::checkServers);
  }

  /** Sends the call unless the server's limit is used up; then another server is chosen. */
  private void sendWithPermit(SendPlan plan) {
    context
        .permits()
        .acquire(
            plan.instance().key(),
            isGranted -> {
              if (isEnded) {
                return;
              }
              if (isGranted) {
                send(plan);
              } else {
                log.logPermitDenied(plan);
                dispatch();
              }
            });
  }

  private void send(SendPlan plan) {
    roomWait.leave();
    Optional<RetryCause> cause = retries.nextSendCause();
    context.meters().recordSend(call.service().name(), cause);
    log.logSent(plan, retries.sendCount() + 1, cause);
    currentAttempt = Optional.empty();
    Attempt attempt = sender.send(plan, requestOf(plan));
    if (!isEnded && call.route().allowsRetry()) {
      attempt.startSilenceDetection();
    }
    if (!isEnded) {
      promptParts.onSent(plan.instance().key().text());
    }
  }

  private FullHttpRequest requestOf(SendPlan plan) {
    if (plan.isHandover()) {
      return sender.handoverRequest(retries.runCount(), retries.isFirstSendCounted());
    }
    retries.recordSend();
    return sender.serverRequest(plan);
  }

  /** Stops a call in progress when a part of its prompt is found to crash servers. */
  private void stopCrashingCall(Refusal refusal) {
    if (currentAttempt.filter(Attempt::wasSent).isPresent()) {
      verdict.recordPossibleRun();
    }
    reject(refusal);
  }

  void setCurrentAttempt(Attempt attempt) {
    currentAttempt = Optional.of(attempt);
  }

  @Override
  public void onRefused(Attempt attempt, ResponseHead head) {
    currentAttempt = Optional.empty();
    sender.releaseIsolation(attempt);
    log.logSendRefused(attempt, head);
    if (attempt.plan().isHandover()) {
      onHandoverRefused(head);
      return;
    }
    context.meters().recordServerRefusal(head.isMisdirected());
    if (head.isMisdirected()) {
      context.statusBroadcaster().onReplaced(attempt.instance());
    } else {
      excluded.add(attempt.instance().key(), timing.untilPlaceIsFree());
      context.brittleServers().onRefused(attempt.instance().key());
    }
    retries.recordRefusal();
    retryOrReject(this::dispatch, CallRefusals.noRoom());
  }

  /** Goes on with a call that another daemon refused, as a retry if it had sent the call. */
  private void onHandoverRefused(ResponseHead head) {
    if (HandoverTickets.isMarkedSent(head.headers())) {
      retries.recordRefusedHandover();
      retryOrReject(this::dispatch, CallRefusals.noRoom());
    } else {
      dispatch();
    }
  }

  @Override
  public void onLost(Attempt attempt, SendFailure failure) {
    currentAttempt = Optional.empty();
    if (attempt.plan().isHandover()) {
      onHandoverLost(attempt, failure);
      return;
    }
    boolean mayBeDown = failure.wasSent() && failure.suggestsServerDown();
    if (!mayBeDown) {
      sender.releaseIsolation(attempt);
    }
    context.meters().recordLoss(failure);
    log.logSendLost(attempt, failure);
    ServerInstance instance = attempt.instance();
    losses.recordFailure(instance, failure);
    excluded.add(instance.key());
    if (!failure.wasSent()) {
      handover.recordFailedConnect();
      if (retries.recordFailedConnect()) {
        dispatch();
      } else {
        awaitServer();
      }
      return;
    }
    recordLostRun(failure);
    if (mayBeDown && losses.mustBeAttributedBeforeRetry(attempt)) {
      losses.attribute(attempt, () -> retryLostRun(attempt));
    } else {
      if (mayBeDown) {
        losses.attribute(attempt, () -> {});
      }
      retryLostRun(attempt);
    }
  }

  /** Tries another daemon, or a server, after the daemon that took the call over was lost. */
  private void onHandoverLost(Attempt attempt, SendFailure failure) {
    context.meters().recordLoss(failure);
    log.logSendLost(attempt, failure);
    if (failure.suggestsServerDown()) {
      context.health().recordLoss(attempt.instance().key());
    }
    if (!failure.wasSent()) {
      dispatch();
      return;
    }
    retries.recordLostHandover();
    recordLostRun(failure);
    if (!call.route().allowsRetry()) {
      reject(Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "the answer did not arrive whole"));
    } else if (attempt.eventCount() == 0) {
      retryOrReject(this::dispatch, CallRefusals.lostHandover());
    } else {
      binding.find(this::retryHandedOverStream);
    }
  }

  private void retryHandedOverStream(boolean isVersionKnown) {
    if (isEnded) {
      return;
    }
    if (isVersionKnown) {
      retryOrReject(this::dispatch, CallRefusals.lostHandover());
    } else {
      reject(CallRefusals.lostHandover());
    }
  }

  private void retryLostRun(Attempt attempt) {
    if (isEnded) {
      return;
    }
    if (!call.route().allowsRetry()) {
      reject(Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "the server gave no whole answer"));
    } else {
      retryOrReject(
          () -> resume(attempt),
          Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "the servers gave no whole answer"));
    }
  }

  private void recordLostRun(SendFailure failure) {
    if (failure.isServerCutOff()) {
      retries.recordCutOffRun();
    } else {
      retries.recordRun(RetryCause.LOST);
    }
    verdict.recordPossibleRun();
    isResuming = call.route().kind() == CallKind.STREAM;
    waitingSinceNanos = context.clock().nanos();
  }

  private void resume(Attempt lost) {
    Optional<SendPlan> fromCopy =
        context.serverReach().isReached(call.service().name())
            ? sender.planFromCopy(lost, excluded.keys())
            : Optional.empty();
    fromCopy.ifPresentOrElse(this::sendWithPermit, this::dispatch);
  }

  private void retryOrReject(Runnable retry, Refusal refusal) {
    retries.acquire(
        isAllowed -> {
          if (isEnded) {
            return;
          }
          if (isAllowed) {
            retry.run();
          } else {
            reject(refusal);
          }
        });
  }

  @Override
  public void onResponse(Attempt attempt, ResponseHead head, ByteBuf body) {
    currentAttempt = Optional.empty();
    boolean isFailureOfDaemon =
        attempt.plan().isHandover() && head.isServerError() && !head.isSigned();
    if (isFailureOfDaemon && call.route().allowsRetry()) {
      body.release();
      onHandoverLost(attempt, SendFailure.malformed("the daemon answered " + head.status()));
      return;
    }
    sender.releaseIsolation(attempt);
    boolean isServerFailure = head.isServerFailure();
    if (isServerFailure) {
      context.health().recordFailure(attempt.instance().key());
    } else {
      context.health().recordSuccess(attempt.instance().key());
    }
    timing.recordAnswer(attempt, head);
    retries.recordRun(RetryCause.FAILED);
    verdict.recordPossibleRun();
    boolean mayRetry =
        isServerFailure && call.route().allowsRetry() && !attempt.plan().isHandover();
    boolean isRetried = mayRetry && retries.tryAcquire();
    if (isRetried) {
      log.logErrorResponse(attempt, head);
      body.release();
      excluded.add(attempt.instance().key());
      dispatch();
      return;
    }
    deliverResponse(attempt, head, body);
  }

  private void deliverResponse(Attempt attempt, ResponseHead head, ByteBuf body) {
    if (relay.hasStarted()) {
      body.release();
      reject(Refusal.mayHaveRun(RefusalReason.SERVER_LOST, "no server goes on with the stream"));
      return;
    }
    if (head.promisesNotRun()) {
      log.logErrorResponse(attempt, head);
      body.release();
      reject(CallRefusals.failedServer(head.status()));
      return;
    }
    if (end()) {
      context.requestGuard().onSuccess(call.digest());
      if (head.isSuccess()) {
        promptParts.onAnswered();
      }
      log.recordCompleted(attempt, head, "answered");
      caller.writeResponse(head, body);
    }
  }

  @Override
  public void onProgress(Attempt attempt) {
    if (isResuming && attempt.eventCount() > 0) {
      isResuming = false;
      log.recordResumed(attempt, relay);
    }
    if (attempt.eventCount() > 0 && !attempt.plan().isHandover()) {
      binding.onEvents(attempt.instance());
      sender.recordPromptRead(attempt);
    }
    promptParts.onEvents(attempt.eventCount());
    caller.flush();
    if (!caller.isWritable()) {
      attempt.setReading(false);
    }
  }

  /** Resumes reading from the server once the caller's connection is writable again. */
  public void onWritable() {
    currentAttempt.ifPresent(attempt -> attempt.setReading(true));
  }

  @Override
  public void onStreamComplete(Attempt attempt, ResponseHead head) {
    currentAttempt = Optional.empty();
    sender.releaseIsolation(attempt);
    context.health().recordSuccess(attempt.instance().key());
    timing.recordStream(attempt);
    if (end()) {
      binding.onComplete();
      context.requestGuard().onSuccess(call.digest());
      promptParts.onAnswered();
      log.recordCompleted(attempt, head, "stream-complete");
      relay.complete(head);
    }
  }

  private void onDeadline() {
    boolean isInFlight = currentAttempt.filter(Attempt::wasSent).isPresent();
    currentAttempt.ifPresent(Attempt::onDeadline);
    reject(
        isInFlight
            ? Refusal.mayHaveRun(
                RefusalReason.DEADLINE_EXCEEDED, "the answer was not complete in time")
            : Refusal.notRun(
                RefusalReason.DEADLINE_UNREACHABLE, "no server took the call in time"));
  }

  /** Cancels the call after the caller has disconnected. */
  public void onCallerDisconnected() {
    if (end()) {
      log.logCallerDisconnected(relay);
    }
  }

  private void reject(Refusal refusal) {
    if (!end()) {
      return;
    }
    Refusal finalRefusal = verdict.accurate(refusal);
    log.recordRejected(finalRefusal, relay);
    context.meters().recordRefusal(finalRefusal);
    if (relay.hasStarted()) {
      caller.abort();
    } else {
      caller.writeRefusal(finalRefusal, retries.isFirstSendCounted());
    }
  }

  private boolean end() {
    if (isEnded) {
      return false;
    }
    isEnded = true;
    deadline.cancel();
    serverCheckTimer.cancel();
    promptParts.stop();
    roomWait.leave();
    currentAttempt.ifPresent(
        attempt -> {
          sender.releaseIsolation(attempt);
          attempt.cancel();
        });
    return true;
  }
}
