package org.galenapost.standins.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.http.Exchange;

/** Writes the bytes of answers that an HTTP library would not write. */
final class RawAnswers {

  /** Lets the caller read an answer before its connection ends. */
  private static final Duration READ_TIME = Duration.ofMillis(20);

  private RawAnswers() {}

  /** Returns a whole answer with a length. */
  static String text(int status, Map<String, String> headers, String body) {
    StringBuilder response = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
    headers.forEach((name, value) -> response.append(name + ": " + value + "\r\n"));
    return response.append("Content-Length: " + body.length() + "\r\n\r\n" + body).toString();
  }

  /** Returns the head of an answer that ends with its connection. */
  static String headWithoutLength(boolean isStream, Map<String, String> headers) {
    String type = isStream ? "text/event-stream" : "text/plain";
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    return head.append("\r\n").toString();
  }

  /**
   * Sends an answer that ends with its connection.
   *
   * @param exchange the request to answer
   * @param eventLoop ends the connection after the answer
   * @param headers the headers of the answer
   * @param body the whole body
   * @param isBrokenOff whether the connection is reset after half of the body
   */
  static void sendWithoutLength(
      Exchange exchange,
      ScheduledExecutorService eventLoop,
      Map<String, String> headers,
      String body,
      boolean isBrokenOff) {
    String sent = isBrokenOff ? body.substring(0, body.length() / 2) : body;
    exchange.replyRaw(headWithoutLength(false, headers) + sent);
    eventLoop.schedule(
        isBrokenOff ? exchange::reset : exchange::closeWithoutResponse,
        READ_TIME.toMillis(),
        TimeUnit.MILLISECONDS);
  }
}
