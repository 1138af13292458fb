package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.ResponseListener;
import org.galenapost.daemon.gateway.upstream.SendFailure;
import org.galenapost.daemon.gateway.upstream.ServerCall;

/** One send of a call: collects a whole answer, or passes the events of a stream on. */
final class Attempt implements ResponseListener {

  private static final int MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024;

  private final GatewayContext context;
  private final Listener listener;
  private final EventRelay relay;
  private final SendPlan plan;
  private final ServerUseTracker.Reservation reservation;
  private final Optional<ServerUseTracker.Reservation> copyReservation;
  private final long startNanos;
  private Optional<SilenceDetector> silenceDetector = Optional.empty();
  private ServerCall serverCall;
  private ResponseHead head;
  private EventSplitter splitter;
  private ByteBuf body;
  private long eventCount;
  private boolean hasNewEvents;
  private boolean isEnded;

  /**
   * Prepares a send.
   *
   * @param context what calls are run with
   * @param owner the call
   * @param relay passes events on
   * @param plan where the send goes
   * @param use what the send takes of the server
   * @param copyUse what the copy of its memory takes of another server
   */
  Attempt(
      GatewayContext context,
      Listener owner,
      EventRelay relay,
      SendPlan plan,
      ServerUseTracker.Reservation use,
      Optional<ServerUseTracker.Reservation> copyUse) {
    this.context = context;
    this.listener = owner;
    this.relay = relay;
    this.plan = plan;
    this.reservation = use;
    this.copyReservation = copyUse;
    this.startNanos = context.clock().nanos();
  }

  /** The call that the attempt belongs to; each attempt ends with one of these. */
  interface Listener {
    /** The server did not run the call. */
    void onRefused(Attempt attempt, ResponseHead head);

    /** No complete answer comes. */
    void onLost(Attempt attempt, SendFailure failure);

    /** A whole answer is there; the body is the owner's. */
    void onResponse(Attempt attempt, ResponseHead head, ByteBuf body);

    /** Some events were passed on. */
    void onProgress(Attempt attempt);

    /** The stream is complete. */
    void onStreamComplete(Attempt attempt, ResponseHead head);
  }

  void setServerCall(ServerCall call) {
    serverCall = call;
    if (isEnded) {
      call.cancel();
    }
  }

  /** Watches for a server that falls silent. */
  void startSilenceDetection() {
    if (!isEnded) {
      silenceDetector =
          Optional.of(
              new SilenceDetector(
                  context, plan.instance(), what -> fail(SendFailure.silent("silent: " + what))));
    }
  }

  SendPlan plan() {
    return plan;
  }

  ServerInstance instance() {
    return plan.instance();
  }

  /** Returns whether a server may have begun the call. */
  boolean wasSent() {
    return serverCall != null && serverCall.wasSent();
  }

  /** Returns how many events the attempt has brought. */
  long eventCount() {
    return eventCount;
  }

  Duration elapsed() {
    return context.clock().since(startNanos);
  }

  void setReading(boolean isReading) {
    silenceDetector.ifPresent(silence -> silence.setPaused(!isReading));
    serverCall.setReading(isReading);
  }

  /** Ends the attempt and closes its connection. */
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
    silenceDetector.ifPresent(SilenceDetector::stop);
    reservation.release();
    copyReservation.ifPresent(ServerUseTracker.Reservation::release);
    return true;
  }

  private void fail(SendFailure failure) {
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
    silenceDetector.ifPresent(SilenceDetector::onBytes);
    boolean isEvents = head.isSuccess() && head.isStream() && head.isSigned();
    if (isEvents) {
      splitter = new EventSplitter();
    } else {
      body = Unpooled.buffer();
    }
  }

  @Override
  public void onBody(ByteBuf part) {
    if (isEnded) {
      return;
    }
    silenceDetector.ifPresent(SilenceDetector::onBytes);
    if (splitter == null) {
      appendToBody(part);
    } else {
      relayEvents(part);
    }
  }

  private void appendToBody(ByteBuf part) {
    if (body.readableBytes() + part.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
      fail(SendFailure.malformed("the answer is longer than " + MAX_BUFFERED_BODY_BYTES));
      return;
    }
    body.writeBytes(part, part.readerIndex(), part.readableBytes());
  }

  private void relayEvents(ByteBuf part) {
    long before = eventCount;
    splitter.add(part);
    for (ByteBuf event = splitter.next(); event != null; event = splitter.next()) {
      EventRelay.RelayResult outcome = relay.relay(head, event, context.clock().nanos());
      if (outcome == EventRelay.RelayResult.OUT_OF_ORDER) {
        fail(SendFailure.malformed("an event is missing after " + relay.lastEventId()));
        return;
      }
      eventCount++;
    }
    if (eventCount > before) {
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
    } else if (head.isNotRun() || head.isMisdirected()) {
      end();
      releaseBody();
      listener.onRefused(this, head);
    } else if (head.isSuccess() && !(head.isSigned() && head.callId().isPresent())) {
      fail(SendFailure.malformed("a success without seal or without the call's id"));
    } else {
      end();
      listener.onResponse(this, head, body);
    }
  }

  private void completeStream() {
    if (splitter.hasPartialEvent()) {
      fail(SendFailure.closed("the stream ended in the middle of an event"));
    } else if (end()) {
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
