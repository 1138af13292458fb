package org.galenapost.daemon.gateway.run;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.core.dispatch.UseLedger;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.upstream.ResponseListener;
import org.galenapost.daemon.gateway.upstream.SendFailure;
import org.galenapost.daemon.gateway.upstream.ServerCall;

/** One send of a call: collects a whole answer, or passes the events of a stream on. */
final class Attempt implements ResponseListener {

  private static final int MAX_WHOLE_ANSWER_BYTES = 16 * 1024 * 1024;

  private final GatewayContext context;
  private final Owner owner;
  private final EventRelay relay;
  private final SendPlan plan;
  private final UseLedger.Use use;
  private final Optional<UseLedger.Use> copyUse;
  private final long startNanos;
  private Optional<SilenceWatch> watch = Optional.empty();
  private ServerCall serverCall;
  private ResponseHead head;
  private EventCutter cutter;
  private ByteBuf body;
  private long events;
  private boolean hasProgress;
  private boolean isOver;

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
      Owner owner,
      EventRelay relay,
      SendPlan plan,
      UseLedger.Use use,
      Optional<UseLedger.Use> copyUse) {
    this.context = context;
    this.owner = owner;
    this.relay = relay;
    this.plan = plan;
    this.use = use;
    this.copyUse = copyUse;
    this.startNanos = context.clock().nanos();
  }

  /** The call that the attempt belongs to; each attempt ends with one of these. */
  interface Owner {
    /** The server did not run the call. */
    void refused(Attempt attempt, ResponseHead head);

    /** No complete answer comes. */
    void lost(Attempt attempt, SendFailure failure);

    /** A whole answer is there; the body is the owner's. */
    void answered(Attempt attempt, ResponseHead head, ByteBuf body);

    /** Some events were passed on. */
    void progressed(Attempt attempt);

    /** The stream is complete. */
    void streamEnded(Attempt attempt, ResponseHead head);
  }

  void sentAs(ServerCall call) {
    serverCall = call;
    if (isOver) {
      call.cancel();
    }
  }

  /** Watches for a server that falls silent. */
  void watch() {
    if (!isOver) {
      watch =
          Optional.of(
              new SilenceWatch(
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
  long events() {
    return events;
  }

  Duration age() {
    return context.clock().since(startNanos);
  }

  void setReading(boolean isReading) {
    watch.ifPresent(silence -> silence.setPaused(!isReading));
    serverCall.setReading(isReading);
  }

  /** Ends the attempt and closes its connection. */
  void cancel() {
    if (end()) {
      serverCall.cancel();
    }
  }

  private boolean end() {
    if (isOver) {
      return false;
    }
    isOver = true;
    watch.ifPresent(SilenceWatch::end);
    use.end();
    copyUse.ifPresent(UseLedger.Use::end);
    return true;
  }

  private void fail(SendFailure failure) {
    if (end()) {
      releaseBody();
      if (serverCall != null) {
        serverCall.cancel();
      }
      owner.lost(this, failure);
    }
  }

  @Override
  public void onHead(ResponseHead answerHead) {
    head = answerHead;
    watch.ifPresent(SilenceWatch::heard);
    boolean isEvents = head.isSuccess() && head.isStream() && head.isSigned();
    if (isEvents) {
      cutter = new EventCutter();
    } else {
      body = Unpooled.buffer();
    }
  }

  @Override
  public void onBody(ByteBuf part) {
    if (isOver) {
      return;
    }
    watch.ifPresent(SilenceWatch::heard);
    if (cutter == null) {
      collect(part);
    } else {
      passOn(part);
    }
  }

  private void collect(ByteBuf part) {
    if (body.readableBytes() + part.readableBytes() > MAX_WHOLE_ANSWER_BYTES) {
      fail(SendFailure.malformed("the answer is longer than " + MAX_WHOLE_ANSWER_BYTES));
      return;
    }
    body.writeBytes(part, part.readerIndex(), part.readableBytes());
  }

  private void passOn(ByteBuf part) {
    long before = events;
    cutter.add(part);
    for (ByteBuf event = cutter.next(); event != null; event = cutter.next()) {
      EventRelay.Outcome outcome = relay.accept(head, event, context.clock().nanos());
      if (outcome == EventRelay.Outcome.OUT_OF_ORDER) {
        fail(SendFailure.malformed("an event is missing after " + relay.lastId()));
        return;
      }
      events++;
    }
    if (events > before) {
      use.promptRead();
      hasProgress = true;
    }
  }

  @Override
  public void onReadComplete() {
    if (!isOver && hasProgress) {
      hasProgress = false;
      owner.progressed(this);
    }
  }

  @Override
  public void onComplete() {
    if (isOver) {
      return;
    }
    if (cutter != null) {
      endStream();
    } else if (head.isNotRun() || head.isMisdirected()) {
      end();
      releaseBody();
      owner.refused(this, head);
    } else if (head.isSuccess() && !(head.isSigned() && head.callId().isPresent())) {
      fail(SendFailure.malformed("a success without seal or without the call's id"));
    } else {
      end();
      owner.answered(this, head, body);
    }
  }

  private void endStream() {
    if (cutter.hasRest()) {
      fail(SendFailure.closed("the stream ended in the middle of an event"));
    } else if (end()) {
      owner.streamEnded(this, head);
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
