package org.galenapost.standins.load;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Receives one connection's answer and passes it on as events or as a refusal. */
final class StreamHandler implements AsyncHandler<Void> {

  private static final int OK = 200;

  private final Listener listener;
  private final EventDecoder events;
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private final AtomicBoolean hasEnded = new AtomicBoolean();
  private int status;

  StreamHandler(Listener listener) {
    this.listener = listener;
    this.events = new EventDecoder(listener::onEvent);
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    byte[] bytes = part.getBodyPartBytes();
    if (status == OK) {
      events.accept(bytes);
    } else {
      errorBody.writeBytes(bytes);
    }
    return State.CONTINUE;
  }

  @Override
  public Void onCompleted() {
    if (hasEnded.compareAndSet(false, true)) {
      events.close();
      if (status == OK) {
        listener.onEnd();
      } else {
        listener.onRefusal(Problem.parse(status, errorBody.toString(StandardCharsets.UTF_8)));
      }
    }
    return null;
  }

  @Override
  public void onThrowable(Throwable failure) {
    if (hasEnded.compareAndSet(false, true)) {
      events.close();
      listener.onEnd();
    }
  }

  /** Receives what comes over one connection. */
  interface Listener {

    /** Receives an event. */
    void onEvent(StreamEvent event);

    /** Receives a refusal instead of events. */
    void onRefusal(Problem problem);

    /** Learns that the connection has ended, for whatever reason. */
    void onEnd();
  }
}
