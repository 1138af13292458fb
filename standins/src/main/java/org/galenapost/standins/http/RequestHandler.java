package org.galenapost.standins.http;

/** Handles one exchange on the server's event loop. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Handles an exchange. The response may be sent after the method returns.
   *
   * @throws HttpError if the response is an error
   */
  void handle(Exchange exchange);
}
