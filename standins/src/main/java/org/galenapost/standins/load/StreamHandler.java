package org.galenapost.standins.load;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Passes the response of one connection to a listener, as events or as a refusal. */
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

  /** Is notified of events, a refusal or the end of one connection. */
  interface Listener {

    /** Handles an event of a successful response. */
    void onEvent(StreamEvent event);

    /** Handles a response with another status than 200; {@link #onEnd} is not called then. */
    void onRefusal(Problem problem);

    /** Handles the end of the connection, after a successful response or a failure. */
    void onEnd();
  }
}
