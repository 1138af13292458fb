package org.galenapost.standins.http;

import java.util.function.Consumer;

/** Creates handlers for requests that set faults. Each responds with an acknowledgement. */
public final class FaultHandlers {

  private static final Acknowledgement ACKNOWLEDGEMENT = new Acknowledgement(true);

  private FaultHandlers() {}

  /** Returns a handler that ignores the request body. */
  public static RequestHandler withoutBody(Runnable action) {
    return exchange -> {
      action.run();
      exchange.replyOk(ACKNOWLEDGEMENT);
    };
  }

  /** Returns a handler that parses the body as the given type; a blank body is an empty object. */
  public static <T> RequestHandler withBody(Class<T> type, Consumer<T> action) {
    return exchange -> {
      action.accept(exchange.body(type));
      exchange.replyOk(ACKNOWLEDGEMENT);
    };
  }

  private record Acknowledgement(boolean done) {}
}
