package org.galenapost.standins.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpServer;

/**
 * A backend server of a service. It seals its responses, rejects calls addressed to another
 * instance, streams numbered events and resumes a stream after a given event. Methods set its
 * faults; any thread may call them.
 */
public final class ServerStandin implements Standin {

  /** The number of events in each stream. */
  public static final int EVENTS_PER_STREAM = 20;

  /** The share of answers without a length that are reset in the middle. */
  private static final double BROKEN_OFF_SHARE = 0.5;

  private static final String FILLER = "x".repeat(16 * 1024);
  private static final int OK = 200;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final HttpServer server;
  private final String instanceId;
  private final Set<String> kvBackupIds;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final AtomicInteger callCount = new AtomicInteger();
  private final List<String> abortedCallIds = new CopyOnWriteArrayList<>();
  private final AtomicInteger remainingRefusals = new AtomicInteger();
  private final AtomicInteger remainingFailures = new AtomicInteger();
  private final LateCopies lateCopies;
  private final EventStreamer streamer;
  private final List<ServerAnswer> answers = new CopyOnWriteArrayList<>();
  private volatile Behaviour behaviour = Behaviour.SERVING;
  private volatile Duration processingTime = Duration.ofMillis(5);
  private volatile Duration eventInterval = Duration.ofMillis(10);
  private volatile Optional<String> retryAfterSeconds = Optional.empty();
  private volatile Optional<String> serverLimit = Optional.empty();
  private volatile Optional<String> brittleness = Optional.empty();
  private volatile boolean isLeaving;
  private volatile double refusalShare;
  private volatile double failureShare;
  private volatile double undelimitedShare;
  private volatile boolean namesCalls = true;
  private volatile boolean sealsFailures = true;
  private volatile int failureStatus = INTERNAL_SERVER_ERROR;
  private volatile int bodyBytes;
  private volatile String softwareVersion = "v1";

  /** How the server handles calls. */
  public enum Behaviour {
    /** It responds normally. */
    SERVING,
    /** It runs calls and responds with a status of failure, 500 unless another one is set. */
    FAILING,
    /** It rejects calls with status 503 and does not run them. */
    FULL,
    /** It runs calls and sends no response. */
    SILENT,
    /** It runs calls and resets the connection without a response. */
    RESETTING,
    /** It crashes on calls whose path contains {@code crash}. */
    CRASHED_BY_CALLS,
    /** It sends the response of another call before the expected one. */
    CROSSING,
    /** It responds with bytes that are not HTTP. */
    GARBLING,
    /** It responds with status 200 but without a seal. */
    UNSEALED,
    /** It sends a complete response followed by further bytes. */
    TALKATIVE,
    /** It streams half of the events and resets the connection in the middle of the next one. */
    DYING_IN_STREAM,
    /** It streams half of the events, and then only a comment now and then. */
    TRICKLING,
    /** It sends the head of a response without end. */
    ENDLESS_HEAD,
    /** It sends the body of a response without end. */
    ENDLESS_BODY,
    /** It responds with status 421, as a server does that is not the expected one. */
    MISDIRECTING
  }

  /**
   * One execution of a call.
   *
   * @param callId the id of the call
   * @param target the path with the query string
   * @param headers all headers
   * @param body the request body
   * @param startedAtNanos when execution started, as {@link System#nanoTime}
   * @param softwareVersion the version of the server's software
   */
  public record Run(
      String callId,
      String target,
      Map<String, String> headers,
      String body,
      long startedAtNanos,
      String softwareVersion) {

    /**
     * Returns whether the call carries headers that the gateway must not forward: the caller's key,
     * a forged header value, or a workspace other than {@link StoreContentWriter#WORKSPACE}.
     */
    public boolean violatesHeaderPolicy() {
      boolean isForged =
          headers.values().stream().anyMatch(StoreContentWriter.FORGED_VALUE::equals);
      boolean hasExpectedWorkspace = StoreContentWriter.WORKSPACE.equals(headers.get("X-Tenant"));
      return isForged || headers.containsKey("X-Credential") || !hasExpectedWorkspace;
    }
  }

  /**
   * Creates a server.
   *
   * @param instanceId the instance id, unique for each start of the server
   * @param port the port to listen on, or 0 for a free port
   * @param kvBackupIds the ids of calls whose KV cache is backed up; the servers of a test share
   *     this set
   */
  public ServerStandin(String instanceId, int port, Set<String> kvBackupIds) {
    this.server = HttpServer.onPort(port);
    this.instanceId = instanceId;
    this.lateCopies = new LateCopies(instanceId);
    this.kvBackupIds = kvBackupIds;
    this.streamer =
        new EventStreamer(
            server.eventLoop(), () -> behaviour, () -> eventInterval, abortedCallIds::add);
  }

  /** Creates a server on a free port that shares no KV backups with other servers. */
  public ServerStandin(String instanceId) {
    this(instanceId, 0, new HashSet<>());
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

  /** Returns the instance id, which is unique for each start of the server. */
  public String instanceId() {
    return instanceId;
  }

  /** Returns the address as an IP literal and a port. */
  public String address() {
    return HttpServer.LOOPBACK_IP + ":" + port();
  }

  /** Sets the version of the server's software, which its entry names. */
  public void setSoftwareVersion(String version) {
    softwareVersion = version;
  }

  /** Returns the version of the server's software. */
  public String softwareVersion() {
    return softwareVersion;
  }

  /** Sets how calls are handled. */
  public void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Sets the time to process a call, or to the first event of a stream. */
  public void setProcessingTime(Duration newProcessingTime) {
    processingTime = newProcessingTime;
  }

  /** Sets the interval between the events of a stream. */
  public void setEventInterval(Duration newInterval) {
    eventInterval = newInterval;
  }

  /** Makes all responses from now on state that the server is leaving. */
  public void announceLeaving() {
    isLeaving = true;
  }

  /** Sets the value of Server-Limit in all responses from now on; empty for none. */
  public void setServerLimit(Optional<String> requestsPerS) {
    serverLimit = requestsPerS;
  }

  /** Sets the value of Server-Brittle in all responses from now on. */
  public void setBrittle(String refusalsPerS) {
    brittleness = Optional.of(refusalsPerS);
  }

  /** Makes the server reject calls with status 503 and the given value of Retry-After. */
  public void rejectWithRetryAfter(String seconds) {
    retryAfterSeconds = Optional.of(seconds);
  }

  /** Makes the server reject the next calls with status 503 without running them. */
  public void refuseNext(int count) {
    remainingRefusals.set(count);
  }

  /** Makes the server run the next calls and fail them with status 500. */
  public void failNext(int count) {
    remainingFailures.set(count);
  }

  /** Sets the share of calls that the server rejects with status 503 without running them. */
  public void setRefusalShare(double share) {
    refusalShare = share;
  }

  /** Sets the share of its responses, other than streams, that get a late copy of the form. */
  public void setLateCopies(double share, LateCopyForm form) {
    lateCopies.set(share, form);
  }

  /**
   * Makes the server send bytes that belong to no chunk in each stream.
   *
   * @param event the event after which they come; those after the last one follow the stream's end
   * @param text the bytes
   */
  public void setStrayBytesInStreams(long event, String text) {
    streamer.setStrayBytes(event, text);
  }

  /** Sets the share of calls that it runs and fails with status 500. */
  public void setFailureShare(double share) {
    failureShare = share;
  }

  /** Returns the answers under its seal so far, other than streams and endless ones. */
  public List<ServerAnswer> answers() {
    return List.copyOf(answers);
  }

  /** Returns the status of its latest sealed answer to each call, other than streams, by id. */
  public Map<String, Integer> answeredStatuses() {
    return answers.stream()
        .collect(
            Collectors.toMap(
                ServerAnswer::callId, ServerAnswer::status, (earlier, later) -> later));
  }

  /**
   * Sets the share of answers, other than streams, that come without a length and end with their
   * connection. Half of them are reset in the middle.
   */
  public void setUndelimitedShare(double share) {
    undelimitedShare = share;
  }

  /** Makes the server leave the id of the call out of its refusals and failures. */
  public void omitCallIds() {
    namesCalls = false;
  }

  /**
   * Makes the server run calls and fail them.
   *
   * @param status the status of its responses
   * @param isSealed whether its responses carry its seal
   */
  public void failWith(int status, boolean isSealed) {
    failureStatus = status;
    sealsFailures = isSealed;
    behaviour = Behaviour.FAILING;
  }

  /** Sets the length of the body of each response to a call that is no stream. */
  public void setBodyBytes(int bytes) {
    bodyBytes = bytes;
  }

  /** Returns the number of calls received, including rejected ones. */
  public int callCount() {
    return callCount.get();
  }

  /** Returns the executions so far. */
  public List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns the ids of calls whose connection closed before the response was complete. */
  public List<String> abortedCallIds() {
    return List.copyOf(abortedCallIds);
  }

  /** Stops listening and closes every connection, as if the process had died. */
  public void crash() {
    server.crash();
  }

  /** Closes every connection but continues to accept new ones. */
  public void dropConnections() {
    server.closeConnections();
  }

  static String sealOf(String callId) {
    return "seal-of-" + callId;
  }

  /**
   * Returns the events of a complete stream after a given event, in the format of the response
   * body.
   *
   * @param last the id of the event before the first one returned
   * @param callId the id of the call
   */
  public static String eventsAfter(long last, String callId) {
    StringBuilder events = new StringBuilder();
    for (long event = last + 1; event <= EVENTS_PER_STREAM; event++) {
      events.append("id: " + event + "\ndata: " + EventStreamer.eventData(event, callId) + "\n\n");
    }
    return events.toString();
  }

  private void handle(Exchange exchange) {
    Map<String, String> headers = exchange.headers();
    String callId = headers.getOrDefault("X-Attempt-Id", "");
    if (namesCalls) {
      exchange.setResponseHeader("X-Attempt-Id", callId);
    }
    lateCopies.onRequest(exchange);
    boolean isMisdirected =
        !headers.getOrDefault("X-Expect-Instance", instanceId).equals(instanceId);
    if (isMisdirected || behaviour == Behaviour.MISDIRECTING) {
      exchange.reply(MISDIRECTED_REQUEST, Map.of("X-Instance-Id", instanceId), "");
      return;
    }
    callCount.incrementAndGet();
    if (isLeaving) {
      exchange.setResponseHeader("Server-Leaving", "1");
    }
    serverLimit.ifPresent(limit -> exchange.setResponseHeader("Server-Limit", limit));
    brittleness.ifPresent(number -> exchange.setResponseHeader("Server-Brittle", number));
    if (retryAfterSeconds.isPresent()) {
      exchange.reply(
          SERVICE_UNAVAILABLE,
          Map.of("X-Not-Executed", "1", "Retry-After", retryAfterSeconds.get()),
          "");
      return;
    }
    boolean lacksKvBackup = headers.containsKey("Kv-From") && !kvBackupIds.contains(callId);
    boolean isRefusal = takeOne(remainingRefusals) || isDrawn(refusalShare);
    if (behaviour == Behaviour.FULL || lacksKvBackup || isRefusal) {
      reply(exchange, callId, SERVICE_UNAVAILABLE, Map.of("X-Not-Executed", "1"), "");
      return;
    }
    run(exchange, callId, headers);
  }

  private void run(Exchange exchange, String callId, Map<String, String> headers) {
    runs.add(
        new Run(
            callId,
            exchange.target(),
            headers,
            exchange.body(),
            System.nanoTime(),
            softwareVersion));
    exchange.onClose(() -> abortedCallIds.add(callId));
    if (headers.containsKey("X-Kv-Backup")) {
      kvBackupIds.add(callId);
    }
    server
        .eventLoop()
        .schedule(
            () -> respond(exchange, callId, headers),
            processingTime.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private static boolean isDrawn(double share) {
    return ThreadLocalRandom.current().nextDouble() < share;
  }

  private static boolean takeOne(AtomicInteger remaining) {
    return remaining.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  private void reply(
      Exchange exchange, String callId, int status, Map<String, String> headers, String body) {
    exchange.reply(status, headers, body);
    lateCopies.onAnswer(exchange, server.eventLoop(), callId, status, headers, body);
  }

  private void respond(Exchange exchange, String callId, Map<String, String> headers) {
    Map<String, String> sealed = Map.of("X-Attempt-Id", callId, "X-Response-Seal", sealOf(callId));
    boolean isFailed = takeOne(remainingFailures) || isDrawn(failureShare);
    switch (isFailed ? Behaviour.FAILING : behaviour) {
      case SILENT -> {}
      case RESETTING -> exchange.reset();
      case CRASHED_BY_CALLS -> crashOrRespond(exchange, headers, sealed);
      case ENDLESS_HEAD -> exchange.replyEndlessly("HTTP/1.1 200 OK\r\nX-Filler: ", FILLER);
      case ENDLESS_BODY ->
          exchange.replyEndlessly(
              RawAnswers.headWithoutLength(headers.containsKey("X-Token-Counts"), sealed), FILLER);
      case GARBLING -> exchange.replyRaw("no answer at all\r\n\r\n");
      case FAILING -> {
        Map<String, String> seal = Map.of("X-Response-Seal", sealOf(callId));
        Map<String, String> own = sealsFailures ? seal : Map.of();
        ServerAnswer failure = new ServerAnswer(callId, failureStatus, "failed by " + instanceId);
        if (sealsFailures) {
          answers.add(failure);
        }
        reply(exchange, callId, failure.status(), own, failure.body());
      }
      case UNSEALED -> exchange.reply(OK, Map.of("X-Attempt-Id", callId), "forged");
      default -> respondNormally(exchange, headers, sealed);
    }
  }

  private void respondNormally(
      Exchange exchange, Map<String, String> headers, Map<String, String> sealed) {
    if (headers.containsKey("X-Token-Counts")) {
      long after = Long.parseLong(headers.getOrDefault("Last-Event-Id", "0"));
      streamer.stream(exchange, sealed, headers.get("X-Attempt-Id"), after + 1);
      return;
    }
    answers.add(new ServerAnswer(headers.get("X-Attempt-Id"), OK, ownBody()));
    if (behaviour == Behaviour.TALKATIVE) {
      exchange.replyRaw(RawAnswers.text(OK, sealed, ownBody()) + "HTTP/1.1 200 OK\r\n\r\nmore");
    } else if (behaviour == Behaviour.CROSSING) {
      Map<String, String> other = Map.of("X-Attempt-Id", "other", "X-Response-Seal", "other-seal");
      exchange.replyRaw(
          RawAnswers.text(OK, other, "other answer") + RawAnswers.text(OK, sealed, ownBody()));
    } else if (isDrawn(undelimitedShare)) {
      RawAnswers.sendWithoutLength(
          exchange, server.eventLoop(), sealed, ownBody(), isDrawn(BROKEN_OFF_SHARE));
    } else {
      reply(exchange, headers.get("X-Attempt-Id"), OK, sealed, ownBody());
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

  private String ownBody() {
    return bodyBytes > 0 ? "x".repeat(bodyBytes) : bodyOf(instanceId);
  }

  /** Returns the body of a normal response that is not a stream. */
  public static String bodyOf(String instanceId) {
    return "answer of " + instanceId;
  }
}
