package org.galenapost.standins.gateway;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.http.Exchange;

/** Sends a share of a server's answers a second time, late and perhaps in part. */
final class LateCopies {

  /** How long after an answer its copy comes while the connection is idle. */
  private static final Duration IDLE_DELAY = Duration.ofMillis(5);

  private static final String HEAD_END = "\r\n\r\n";
  private static final String NO_HEAD = "late";

  private final String instanceId;
  private final Map<String, String> beforeNextAnswer = new ConcurrentHashMap<>();
  private final Map<String, String> afterNextAnswer = new ConcurrentHashMap<>();
  private volatile double share;
  private volatile LateCopyForm form = LateCopyForm.WHOLE;

  LateCopies(String instanceId) {
    this.instanceId = instanceId;
  }

  /** Sets the share and the form of copies, and drops those of another form that are still due. */
  void set(double newShare, LateCopyForm newForm) {
    share = newShare;
    if (form != newForm) {
      form = newForm;
      beforeNextAnswer.clear();
      afterNextAnswer.clear();
    }
  }

  /** Sends what is to come before the next answer on the connection of a request. */
  void onRequest(Exchange exchange) {
    String text = beforeNextAnswer.remove(exchange.connectionId());
    if (text != null) {
      exchange.replyRaw(text);
    }
  }

  /**
   * Sends what is to come after an answer, and draws whether that answer gets a copy.
   *
   * @param exchange the request that was answered
   * @param eventLoop sends copies on idle connections
   * @param callId the id of the call that was answered
   * @param status the status of the answer
   * @param headers the headers of the answer
   * @param body the body of the answer
   */
  void onAnswer(
      Exchange exchange,
      ScheduledExecutorService eventLoop,
      String callId,
      int status,
      Map<String, String> headers,
      String body) {
    String rest = afterNextAnswer.remove(exchange.connectionId());
    if (rest != null) {
      exchange.replyRaw(rest);
    } else if (ThreadLocalRandom.current().nextDouble() < share) {
      Map<String, String> copied = new TreeMap<>(headers);
      copied.put("Server", instanceId);
      copied.put("X-Attempt-Id", callId);
      String copy = RawAnswers.text(status, copied, body);
      boolean isHeadOnly = HttpMethod.HEAD.equals(exchange.method());
      send(exchange, eventLoop, isHeadOnly ? copy.substring(0, headEnd(copy)) : copy);
    }
  }

  private void send(Exchange exchange, ScheduledExecutorService eventLoop, String copy) {
    LateCopyForm current = form;
    int headEnd = headEnd(copy);
    String first =
        switch (current) {
          case WHOLE, WHOLE_WHILE_IDLE -> copy;
          case PART_OF_HEAD, PART_OF_HEAD_WHILE_IDLE -> copy.substring(0, cut(1, headEnd));
          case PART_OF_BODY -> copy.substring(0, cut(headEnd, copy.length()));
          case NO_HEAD_WHILE_IDLE -> NO_HEAD;
          case SPLIT -> copy.substring(0, cut(1, copy.length()));
        };
    if (current.comesWhileIdle()) {
      eventLoop.schedule(
          () -> exchange.replyRaw(first), IDLE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    beforeNextAnswer.put(exchange.connectionId(), first);
    if (current == LateCopyForm.SPLIT) {
      afterNextAnswer.put(exchange.connectionId(), copy.substring(first.length()));
    }
  }

  private static int headEnd(String copy) {
    return copy.indexOf(HEAD_END) + HEAD_END.length();
  }

  private static int cut(int from, int to) {
    return from < to ? ThreadLocalRandom.current().nextInt(from, to) : from;
  }
}
