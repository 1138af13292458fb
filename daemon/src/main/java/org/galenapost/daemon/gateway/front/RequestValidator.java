package org.galenapost.daemon.gateway.front;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.galenapost.core.configuration.PeerColdStart;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.route.GatewayWorkspace;
import org.galenapost.core.route.Route;
import org.galenapost.core.route.RouteTable;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.call.CallHead;
import org.galenapost.daemon.gateway.call.HandoverTicket;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.run.AcceptedCall;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.net.NoRoomForHeadException;

/** Validates a request against HTTP, the configuration in force and the phase of the daemon. */
public final class RequestValidator {

  /** A daemon that ends is no longer among those that new connections reach. */
  private static final Duration RETRY_AFTER_AT_ANOTHER_DAEMON = Duration.ZERO;

  /** A daemon that lacks a configuration has asked all others for it by then. */
  private static final Duration CONFIGURATION_RETRY_AFTER = PeerColdStart.ROUND_PERIOD;

  /** Time for some of the calls to end whose bodies are held. */
  private static final Duration BODY_RETRY_AFTER = Duration.ofSeconds(1);

  /** Time for some of the calls to end whose heads are held. */
  private static final Duration HEAD_RETRY_AFTER = Duration.ofSeconds(1);

  private static final String UNKNOWN_ID = "-";

  /** A double holds 53 bits of a hash exactly. */
  private static final int UNUSED_HASH_BITS = 11;

  private static final double DRAW_RANGE = 1L << 53;

  private final CallFormat format;
  private final Supplier<Optional<RouteTable>> routes;
  private final DaemonState state;
  private final HandoverTickets tickets;

  /**
   * Creates a validator.
   *
   * @param format reads requests
   * @param routes the route table in force
   * @param state the daemon's phase
   * @param tickets reads the tickets of calls that other daemons hand over
   */
  public RequestValidator(
      CallFormat format,
      Supplier<Optional<RouteTable>> routes,
      DaemonState state,
      HandoverTickets tickets) {
    this.format = format;
    this.routes = routes;
    this.state = state;
    this.tickets = tickets;
  }

  /** Returns the id of a request, or {@code -} if it cannot be read. */
  String idOf(HttpRequest request) {
    return request.decoderResult().isFailure()
        ? UNKNOWN_ID
        : format.readCallHead(request).map(CallHead::id).getOrElse(UNKNOWN_ID);
  }

  /**
   * Returns what the refusals of a request state besides their document. A daemon that hands a call
   * over goes on only after a refusal that names the call and says that no server ran it.
   */
  RefusalHeaders refusalHeaders(HttpRequest request) {
    if (!HandoverTickets.isPresent(request.headers())) {
      return RefusalHeaders.NONE;
    }
    String callId = idOf(request);
    return (refusal, wasSent, headers) -> {
      format.writeCallId(callId, headers);
      if (refusal.verdict() == Verdict.NOT_RUN) {
        HandoverTickets.markNotRun(headers, wasSent);
      }
    };
  }

  /**
   * Validates a request and selects the service for it.
   *
   * @param request the request
   * @param body its body
   * @param startNanos when the request was read, in nanoseconds of the monotonic clock
   * @return the accepted call, or why the request is refused
   */
  Either<Refusal, AcceptedCall> validate(FullHttpRequest request, byte[] body, long startNanos) {
    return checkFraming(request)
        .flatMap(this::readHead)
        .flatMap(
            head ->
                checkAgainstRoutes(
                    head, tickets.take(head.id(), request.headers()), body, startNanos));
  }

  /**
   * Validates the head of a call without a body and selects the service for it, as {@link
   * #validate} does.
   *
   * @param head the head of the call
   * @return the call, or why it would be refused
   */
  public Either<Refusal, AcceptedCall> validateHead(CallHead head) {
    return checkAgainstRoutes(head, Optional.empty(), new byte[0], 0);
  }

  private static Either<Refusal, FullHttpRequest> checkFraming(FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      return Either.left(malformed(request.decoderResult().cause()));
    }
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isTransferEncodingSupported =
        encodings.isEmpty()
            || (encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip()));
    boolean hasOneHost = headers.getAll(HttpHeaderNames.HOST).size() == 1;
    boolean isVersionSupported = request.protocolVersion().majorVersion() == 1;
    boolean isTargetPath = request.uri().startsWith("/");
    if (!isTransferEncodingSupported || !hasOneHost || !isVersionSupported || !isTargetPath) {
      return Either.left(
          Refusal.notRun(
              RefusalReason.BAD_REQUEST,
              "The request needs one Host, a path, and a plain or chunked body."));
    }
    return Either.right(request);
  }

  /** Refuses a request whose head gets no room beside those of others. */
  static Refusal noRoomForHead() {
    return Refusal.notRun(
            RefusalReason.HEAD_MEMORY_FULL, "Requests in progress leave no room for the head.")
        .withRetryAfter(HEAD_RETRY_AFTER);
  }

  private static Refusal malformed(Throwable cause) {
    if (cause instanceof NoRoomForHeadException) {
      return noRoomForHead();
    }
    if (cause instanceof NoRoomForBodyException) {
      return Refusal.notRun(
              RefusalReason.BODY_MEMORY_FULL, "Requests in progress leave no room for the body.")
          .withRetryAfter(BODY_RETRY_AFTER);
    }
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return isTooLong
        ? Refusal.notRun(RefusalReason.HEADER_TOO_LARGE, "The head is longer than the limit.")
        : Refusal.notRun(RefusalReason.BAD_REQUEST, "The request is not well-formed HTTP/1.1.");
  }

  private Either<Refusal, CallHead> readHead(FullHttpRequest request) {
    return format
        .readCallHead(request)
        .mapLeft(fault -> Refusal.notRun(RefusalReason.BAD_REQUEST, fault));
  }

  private Either<Refusal, AcceptedCall> checkAgainstRoutes(
      CallHead head, Optional<HandoverTicket> handover, byte[] body, long startNanos) {
    Optional<RouteTable> table = routes.get();
    if (table.isEmpty()) {
      return Either.left(
          Refusal.notRun(RefusalReason.NOT_READY, "No configuration is in force yet.")
              .withRetryAfter(CONFIGURATION_RETRY_AFTER));
    }
    if (state.refusesNewRequests()) {
      return Either.left(
          Refusal.notRun(RefusalReason.SHUTTING_DOWN, "The daemon is shutting down.")
              .withRetryAfter(RETRY_AFTER_AT_ANOTHER_DAEMON));
    }
    long requiredVersion = handover.map(HandoverTicket::configurationVersion).orElse(0L);
    if (table.get().version() < requiredVersion) {
      return Either.left(
          Refusal.notRun(
                  RefusalReason.NOT_READY,
                  "configuration " + requiredVersion + " is not in force here yet")
              .withRetryAfter(CONFIGURATION_RETRY_AFTER));
    }
    Optional<Route> route = table.get().find(head.host(), head.path());
    return route
        .map(
            found ->
                authenticateAndSelectService(table.get(), found, head, handover, body, startNanos))
        .orElseGet(
            () ->
                Either.left(
                    Refusal.notRun(RefusalReason.NOT_FOUND, "No route matches the request.")));
  }

  private Either<Refusal, AcceptedCall> authenticateAndSelectService(
      RouteTable table,
      Route route,
      CallHead head,
      Optional<HandoverTicket> handover,
      byte[] body,
      long startNanos) {
    boolean isKeyRequired = table.requiresKeys() && !route.isOpen();
    Optional<GatewayWorkspace> workspace =
        isKeyRequired ? head.key().flatMap(table::workspaceOf) : Optional.empty();
    if (isKeyRequired && workspace.isEmpty()) {
      return Either.left(
          Refusal.notRun(RefusalReason.UNAUTHENTICATED, "The key is missing or not known."));
    }
    Optional<TargetService> service =
        route.targets().isEmpty()
            ? Optional.empty()
            : table.service(route.serviceFor(uniformDraw(head)));
    return service
        .<Either<Refusal, AcceptedCall>>map(
            target ->
                Either.right(
                    newCall(table, route, target, workspace, head, handover, body, startNanos)))
        .orElseGet(
            () ->
                Either.left(
                    Refusal.notRun(RefusalReason.NO_SERVER, "The route names no service.")
                        .withRetryAfter(CONFIGURATION_RETRY_AFTER)));
  }

  /** Returns the same draw for all of a caller's attempts at one stream. */
  private static double uniformDraw(CallHead head) {
    long hash = Rendezvous.hash(head.resumedStreamId().orElse(head.id()));
    return (hash >>> UNUSED_HASH_BITS) / DRAW_RANGE;
  }

  private static AcceptedCall newCall(
      RouteTable table,
      Route route,
      TargetService service,
      Optional<GatewayWorkspace> workspace,
      CallHead head,
      Optional<HandoverTicket> handover,
      byte[] body,
      long startNanos) {
    long waitMs = Math.min(route.timeoutMs(), head.waitMs().orElse(route.timeoutMs()));
    RequestDigest digest =
        RequestDigest.ofParts(
            head.target().getBytes(StandardCharsets.UTF_8),
            head.key().orElse("").getBytes(StandardCharsets.UTF_8),
            body);
    return new AcceptedCall(
        head,
        body,
        route,
        service,
        handover.flatMap(HandoverTicket::origin),
        handover,
        workspace,
        digest,
        table.prioritiesOf(service.name()),
        table.version(),
        startNanos,
        startNanos + Duration.ofMillis(waitMs).toNanos());
  }
}
