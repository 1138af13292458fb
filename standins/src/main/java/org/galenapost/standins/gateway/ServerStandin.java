package org.galenapost.standins.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.EventStream;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpServer;

/**
 * A server of a service: seals its answers, refuses calls meant for another instance, streams
 * numbered events, and goes on with a stream after a given event. Its faults are switched by
 * methods, which any thread may call.
 */
public final class ServerStandin implements Standin {

  /** The events of each stream. */
  public static final int EVENTS_PER_STREAM = 20;

  private static final int OK = 200;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpServer server;
  private final String instanceId;
  private final Set<String> kvBackupIds;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final List<String> abortedCallIds = new CopyOnWriteArrayList<>();
  private volatile Behaviour behaviour = Behaviour.SERVING;
  private volatile Duration processingTime = Duration.ofMillis(5);
  private volatile Duration eventInterval = Duration.ofMillis(10);

  /** How the server treats calls. */
  public enum Behaviour {
    /** It answers. */
    SERVING,
    /** It runs calls and answers that it failed. */
    FAILING,
    /** It says that it is full and runs nothing. */
    FULL,
    /** It runs calls and answers nothing. */
    SILENT,
    /** It runs calls and resets the connection. */
    RESETTING,
    /** It dies of calls whose path contains {@code crash}. */
    CRASHED_BY_CALLS,
    /** It answers with another call's answer before the own one. */
    CROSSING,
    /** It answers with bytes that are no HTTP. */
    GARBLING,
    /** It answers a success without its seal. */
    UNSEALED,
    /** It answers in full and sends more bytes. */
    TALKATIVE,
    /** It streams half of the events and resets the connection in the middle of the next one. */
    DYING_IN_STREAM
  }

  /**
   * One run of a call.
   *
   * @param callId the id of the call
   * @param target the path with its query
   * @param headers all headers
   * @param body the body
   * @param startedAtNanos when it began, by the system's monotonic clock
   */
  public record Run(
      String callId, String target, Map<String, String> headers, String body, long startedAtNanos) {

    /** Returns whether the call brought a key, a forged header or another workspace along. */
    public boolean violatesHeaderPolicy() {
      boolean isForged = headers.values().stream().anyMatch(StoreContentWriter.FORGED_VALUE::equals);
      boolean isOfWorkspace = StoreContentWriter.WORKSPACE.equals(headers.get("X-Tenant"));
      return isForged || headers.containsKey("X-Credential") || !isOfWorkspace;
    }
  }

  /**
   * Creates a server on a port, or on a free one if the port is 0.
   *
   * @param id the id of this start
   * @param copies the ids of the runs whose memory was copied, shared by the servers of a test
   */
  public ServerStandin(String id, int port, Set<String> copies) {
    this.server = HttpServer.onPort(port);
    this.instanceId = id;
    this.kvBackupIds = copies;
  }

  /** Creates a server on a free port that shares no memory. */
  public ServerStandin(String id) {
    this(id, 0, new HashSet<>());
  }

  @Override
  public void start() {
    server.start(this::handle);
  }

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    server.stop();
  }

  /** Returns the id of this start. */
  public String instanceId() {
    return instanceId;
  }

  /** Returns the address as IP literal and port. */
  public String address() {
    return HttpServer.LOOPBACK_IP + ":" + port();
  }

  /** Switches how calls are treated. */
  public void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Sets how long a call takes, and a stream until its first event. */
  public void setProcessingTime(Duration newWork) {
    processingTime = newWork;
  }

  /** Sets how long a stream pauses between its events. */
  public void setEventInterval(Duration newPause) {
    eventInterval = newPause;
  }

  /** Returns the runs so far. */
  public List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns the ids of the calls whose connection was closed before their answer ended. */
  public List<String> abortedCallIds() {
    return List.copyOf(abortedCallIds);
  }

  /** Stops listening and closes every connection, as when the process dies. */
  public void crash() {
    server.crash();
  }

  /** Closes every connection, as a crash does; new ones are still accepted. */
  public void dropConnections() {
    server.closeConnections();
  }

  static String sealOf(String callId) {
    return "seal-of-" + callId;
  }

  /** Returns the events that a whole stream has after a given one, as they stand in its body. */
  public static String eventsAfter(long last, String callId) {
    StringBuilder events = new StringBuilder();
    for (long event = last + 1; event <= EVENTS_PER_STREAM; event++) {
      events.append("id: " + event + "\ndata: " + eventData(event, callId) + "\n\n");
    }
    return events.toString();
  }

  private static String eventData(long event, String callId) {
    return "event " + event + " of " + callId;
  }

  private void handle(Exchange exchange) {
    Map<String, String> headers = exchange.headers();
    String callId = headers.getOrDefault("X-Attempt-Id", "");
    if (!headers.getOrDefault("X-Expect-Instance", instanceId).equals(instanceId)) {
      exchange.reply(MISDIRECTED_REQUEST, Map.of("X-Instance-Id", instanceId), "");
      return;
    }
    boolean lacksCopy = headers.containsKey("Kv-From") && !kvBackupIds.contains(callId);
    if (behaviour == Behaviour.FULL || lacksCopy) {
      exchange.reply(SERVICE_UNAVAILABLE, Map.of("X-Not-Executed", "1"), "");
      return;
    }
    runs.add(new Run(callId, exchange.target(), headers, exchange.body(), System.nanoTime()));
    exchange.onClose(() -> abortedCallIds.add(callId));
    if (headers.containsKey("X-Kv-Backup")) {
      kvBackupIds.add(callId);
    }
    server
        .eventLoop()
        .schedule(() -> respond(exchange, callId, headers), processingTime.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void respond(Exchange exchange, String callId, Map<String, String> headers) {
    Map<String, String> sealed = Map.of("X-Attempt-Id", callId, "X-Response-Seal", sealOf(callId));
    switch (behaviour) {
      case SILENT -> {}
      case RESETTING -> exchange.reset();
      case CRASHED_BY_CALLS -> crashOrRespond(exchange, headers, sealed);
      case GARBLING -> exchange.replyRaw("no answer at all\r\n\r\n");
      case FAILING -> exchange.reply(INTERNAL_SERVER_ERROR, sealed, "failed by " + instanceId);
      case UNSEALED -> exchange.reply(OK, Map.of("X-Attempt-Id", callId), "forged");
      case CROSSING -> streamOrSendTwoResponses(exchange, callId, headers, sealed);
      default -> respondNormally(exchange, headers, sealed);
    }
  }

  private void respondNormally(
      Exchange exchange, Map<String, String> headers, Map<String, String> sealed) {
    if (headers.containsKey("X-Token-Counts")) {
      EventStream stream = exchange.openEventStream(sealed);
      long after = Long.parseLong(headers.getOrDefault("Last-Event-Id", "0"));
      streamFrom(stream, headers.get("X-Attempt-Id"), after + 1);
    } else if (behaviour == Behaviour.TALKATIVE) {
      exchange.replyRaw(rawResponse(sealed, ownBody()) + "HTTP/1.1 200 OK\r\n\r\nmore");
    } else {
      exchange.reply(OK, sealed, ownBody());
    }
  }

  private void crashOrRespond(
      Exchange exchange, Map<String, String> headers, Map<String, String> sealed) {
    if (exchange.target().contains("crash")) {
      server.crash();
    } else {
      respondNormally(exchange, headers, sealed);
    }
  }

  private void streamOrSendTwoResponses(
      Exchange exchange, String callId, Map<String, String> headers, Map<String, String> sealed) {
    if (headers.containsKey("X-Token-Counts")) {
      respondNormally(exchange, headers, sealed);
    } else {
      sendTwoResponses(exchange, callId);
    }
  }

  private void sendTwoResponses(Exchange exchange, String callId) {
    Map<String, String> other = Map.of("X-Attempt-Id", "other", "X-Response-Seal", "seal-of-other");
    Map<String, String> own = Map.of("X-Attempt-Id", callId, "X-Response-Seal", sealOf(callId));
    exchange.replyRaw(rawResponse(other, "other answer") + rawResponse(own, ownBody()));
  }

  private String ownBody() {
    return bodyOf(instanceId);
  }

  /** Returns the body of every whole answer of an instance. */
  public static String bodyOf(String instanceId) {
    return "answer of " + instanceId;
  }

  private static String rawResponse(Map<String, String> headers, String body) {
    StringBuilder answer = new StringBuilder("HTTP/1.1 200 OK\r\n");
    headers.forEach((name, value) -> answer.append(name + ": " + value + "\r\n"));
    return answer.append("Content-Length: " + body.length() + "\r\n\r\n" + body).toString();
  }

  private void streamFrom(EventStream stream, String callId, long event) {
    if (behaviour == Behaviour.DYING_IN_STREAM && event > EVENTS_PER_STREAM / 2) {
      stream
          .writeRaw(("id: " + event + "\nda").getBytes(StandardCharsets.UTF_8))
          .addListener(written -> stream.reset());
      return;
    }
    if (behaviour == Behaviour.SILENT) {
      return;
    }
    if (event > EVENTS_PER_STREAM) {
      stream.end();
      return;
    }
    stream.onClose(() -> abortedCallIds.add(callId));
    stream.write(event, eventData(event, callId));
    server
        .eventLoop()
        .schedule(
            () -> streamFrom(stream, callId, event + 1),
            eventInterval.toMillis(),
            TimeUnit.MILLISECONDS);
  }
}
