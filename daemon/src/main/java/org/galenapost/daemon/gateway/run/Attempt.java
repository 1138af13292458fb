package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.rollout.AnswerOutcome;
import org.galenapost.core.rollout.RolloutSend;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.ConnectionTrace;
import org.galenapost.daemon.gateway.upstream.ResponseListener;
import org.galenapost.daemon.gateway.upstream.SendFailure;
import org.galenapost.daemon.gateway.upstream.ServerCall;

/**
 * One send of a call to one server. Buffers a complete response, or relays the events of a stream
 * as they arrive.
 */
final class Attempt implements ResponseListener {

  private final GatewayContext context;
  private final Listener listener;
  private final EventRelay relay;
  private final SendPlan plan;
  private final ServerUseTracker.Reservation reservation;
  private final Optional<ServerUseTracker.Reservation> copyReservation;
  private final RolloutSend rolloutSend;
  private final Consumer<Duration> onFirstEvent;
  private final long startNanos;
  private Optional<SilenceDetector> silenceDetector = Optional.empty();
  private ServerCall serverCall;
  private ResponseHead head;
  private EventSplitter splitter;
  private ByteBuf body;
  private long eventCount;
  private long firstEventNanos;
  private long heldBytes;
  private boolean hasNewEvents;
  private boolean isEnded;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param context the collaborators of all calls
   * @param listener notified of the progress and the end of the attempt
   * @param relay relays the events of a stream to the caller
   * @param plan the servers that take part in the send
   * @param reservation the capacity reserved on the server, released when the attempt ends
   * @param copyReservation the capacity reserved on the server that holds the memory copy
   * @param rolloutSend takes the result of the send
   * @param onFirstEvent receives the time from the send to the first event
   */
  Attempt(
      GatewayContext context,
      Listener listener,
      EventRelay relay,
      SendPlan plan,
      ServerUseTracker.Reservation reservation,
      Optional<ServerUseTracker.Reservation> copyReservation,
      RolloutSend rolloutSend,
      Consumer<Duration> onFirstEvent) {
    this.context = context;
    this.listener = listener;
    this.relay = relay;
    this.plan = plan;
    this.reservation = reservation;
    this.copyReservation = copyReservation;
    this.rolloutSend = rolloutSend;
    this.onFirstEvent = onFirstEvent;
    this.startNanos = context.clock().nanos();
  }

  /**
   * Is notified of the progress and the end of an attempt. An attempt that is not cancelled ends
   * with one call of {@code onRefused}, {@code onLost}, {@code onResponse} or {@code
   * onStreamComplete}.
   */
  interface Listener {
    /** Handles a refusal: the server did not run the call. */
    void onRefused(Attempt attempt, ResponseHead head);

    /** Handles the loss of an attempt that brings no complete response. */
    void onLost(Attempt attempt, SendFailure failure);

    /** Handles a complete response; the listener releases the body. */
    void onResponse(Attempt attempt, ResponseHead head, ByteBuf body);

    /** Handles new events that were relayed to the caller, once per network read. */
    void onProgress(Attempt attempt);

    /** Handles the end of a complete stream. */
    void onStreamComplete(Attempt attempt, ResponseHead head);
  }

  void setServerCall(ServerCall call) {
    serverCall = call;
    if (isEnded) {
      call.cancel();
    }
  }

  /** Starts to check whether the server falls silent; the attempt is lost if it does. */
  void startSilenceDetection() {
    if (!isEnded) {
      silenceDetector = Optional.of(new SilenceDetector(context, plan.instance(), this::onSilent));
    }
  }

  private void onSilent(LossReason reason) {
    String detail = "no bytes from the server: " + reason.wireName();
    fail(
        reason == LossReason.PROBE_FAILED ? SendFailure.silent(detail) : SendFailure.stuck(detail));
  }

  SendPlan plan() {
    return plan;
  }

  ServerInstance instance() {
    return plan.instance();
  }

  /** Returns whether the server may have started to run the call. */
  boolean wasSent() {
    return serverCall != null && serverCall.wasSent();
  }

  /** Returns which connection carried the send. */
  ConnectionTrace trace() {
    return serverCall == null ? ConnectionTrace.NONE : serverCall.trace();
  }

  /** Returns the number of events received by this attempt. */
  long eventCount() {
    return eventCount;
  }

  /** Returns the time since the first event of this attempt, which has at least one. */
  Duration sinceFirstEvent() {
    return context.clock().since(firstEventNanos);
  }

  Duration elapsed() {
    return context.clock().since(startNanos);
  }

  void setReading(boolean isReading) {
    silenceDetector.ifPresent(detector -> detector.setPaused(!isReading));
    serverCall.setReading(isReading);
  }

  /** Ends the attempt without a notification and closes its connection. */
  void cancel() {
    if (end()) {
      serverCall.cancel();
    }
  }

  private boolean end() {
    if (isEnded) {
      return false;
    }
    isEnded = true;
    hold(0);
    silenceDetector.ifPresent(SilenceDetector::stop);
    reservation.release();
    copyReservation.ifPresent(ServerUseTracker.Reservation::release);
    rolloutSend.abandon();
    return true;
  }

  /** Records that the call's time is over; an answer would have taken at least that long. */
  void onDeadline() {
    endRolloutSend(AnswerOutcome.ANSWERED);
  }

  private void endRolloutSend(AnswerOutcome outcome) {
    rolloutSend.end(outcome, elapsed().toMillis());
  }

  private void fail(SendFailure failure) {
    endRolloutSend(failure.suggestsServerDown() ? AnswerOutcome.LOST : AnswerOutcome.FAILED);
    if (end()) {
      releaseBody();
      if (serverCall != null) {
        serverCall.cancel();
      }
      listener.onLost(this, failure);
    }
  }

  @Override
  public void onHead(ResponseHead answerHead) {
    head = answerHead;
    if (!plan.isHandover()) {
      noteWishes();
    }
    boolean isEventStream = head.isSuccess() && head.isStream() && head.isSigned();
    if (isEventStream) {
      splitter = new EventSplitter();
    } else {
      silenceDetector.ifPresent(SilenceDetector::onProgress);
      body = Unpooled.buffer();
    }
  }

  /** Records what the server wants of this daemon. Another server speaks only for itself. */
  private void noteWishes() {
    if (head.isMisdirected()) {
      return;
    }
    if (head.isLeaving()) {
      context.statusBroadcaster().onLeaving(instance());
    }
    context.limits().onResponse(instance().key(), head.rate(), startNanos);
    context.brittleServers().onResponse(instance().key(), head.refusalRate(), startNanos);
    head.requestedPause().ifPresent(pause -> context.pauses().record(instance().key(), pause));
  }

  @Override
  public void onBody(ByteBuf part) {
    if (isEnded) {
      return;
    }
    if (splitter == null) {
      silenceDetector.ifPresent(SilenceDetector::onProgress);
      appendToBody(part);
    } else {
      relayEvents(part);
    }
  }

  private void appendToBody(ByteBuf part) {
    if (!hold(body.readableBytes() + part.readableBytes())) {
      return;
    }
    body.writeBytes(part, part.readerIndex(), part.readableBytes());
  }

  /** Takes room for incomplete parts of the answer; fails the attempt if there is none. */
  private boolean hold(long bytes) {
    if (context.answerBuffers().tryResize(heldBytes, bytes)) {
      heldBytes = bytes;
      return true;
    }
    fail(SendFailure.malformed("no room for " + bytes + " bytes of an incomplete answer"));
    return false;
  }

  private void relayEvents(ByteBuf part) {
    long previousCount = eventCount;
    if (!splitter.add(part)) {
      fail(SendFailure.malformed("an event exceeds " + EventSplitter.MAX_EVENT_BYTES + " bytes"));
      return;
    }
    for (ByteBuf event = splitter.next(); event != null; event = splitter.next()) {
      if (!EventSplitter.hasOnlyFields(event)) {
        event.release();
        fail(SendFailure.malformed("a line of an event is no field"));
        return;
      }
      EventRelay.RelayResult result = relay.relay(head, event, context.clock().nanos());
      if (result == EventRelay.RelayResult.OUT_OF_ORDER) {
        fail(SendFailure.malformed("gap in the event ids after " + relay.lastEventId()));
        return;
      }
      eventCount++;
    }
    if (!hold(splitter.pendingBytes())) {
      return;
    }
    if (eventCount > previousCount) {
      rolloutSend.onFirstEvent(elapsed().toMillis());
      if (previousCount == 0) {
        firstEventNanos = context.clock().nanos();
        onFirstEvent.accept(elapsed());
      }
      // Comments and parts of events are no progress: a stalled server may send them forever.
      silenceDetector.ifPresent(SilenceDetector::onProgress);
      reservation.markPromptProcessed();
      hasNewEvents = true;
    }
  }

  @Override
  public void onReadComplete() {
    if (!isEnded && hasNewEvents) {
      hasNewEvents = false;
      listener.onProgress(this);
    }
  }

  @Override
  public void onComplete() {
    if (isEnded) {
      return;
    }
    if (splitter != null) {
      completeStream();
    } else if (plan.isHandover() ? isRefusalOfDaemon() : isRefusalOfServer()) {
      end();
      releaseBody();
      listener.onRefused(this, head);
    } else if (head.isSuccess() && !head.isSigned()) {
      fail(SendFailure.malformed("successful response lacks the seal"));
    } else {
      endRolloutSend(head.isServerFailure() ? AnswerOutcome.FAILED : AnswerOutcome.ANSWERED);
      end();
      listener.onResponse(this, head, body);
    }
  }

  /** A failure that another daemon passes on may be that of a server that ran the call. */
  private boolean isRefusalOfDaemon() {
    return !head.isSigned() && HandoverTickets.isMarkedNotRun(head.headers());
  }

  private boolean isRefusalOfServer() {
    return head.isNotRun() || head.isMisdirected();
  }

  private void completeStream() {
    if (splitter.hasPartialEvent()) {
      fail(SendFailure.closed("stream ended inside an event"));
      return;
    }
    endRolloutSend(AnswerOutcome.ANSWERED);
    if (end()) {
      ByteBuf blankLines = splitter.trailingBlankLines();
      if (blankLines != null) {
        relay.relayBlankLines(head, blankLines);
      }
      listener.onStreamComplete(this, head);
    }
  }

  @Override
  public void onFailure(SendFailure failure) {
    fail(failure);
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }
}
