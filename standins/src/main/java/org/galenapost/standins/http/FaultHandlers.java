package org.galenapost.standins.http;

import java.util.function.Consumer;

/** Handlers of the calls that set faults; each confirms with a small document. */
public final class FaultHandlers {

  private static final Acknowledgement ACKNOWLEDGEMENT = new Acknowledgement(true);

  private FaultHandlers() {}

  /** Returns a handler that needs no body. */
  public static RequestHandler withoutBody(Runnable action) {
    return exchange -> {
      action.run();
      exchange.replyOk(ACKNOWLEDGEMENT);
    };
  }

  /** Returns a handler that reads its body as the given type; an empty body has no fields. */
  public static <T> RequestHandler withBody(Class<T> type, Consumer<T> action) {
    return exchange -> {
      action.accept(exchange.body(type));
      exchange.replyOk(ACKNOWLEDGEMENT);
    };
  }

  private record Acknowledgement(boolean done) {}
}
