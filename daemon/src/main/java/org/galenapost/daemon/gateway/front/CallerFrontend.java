package org.galenapost.daemon.gateway.front;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.RecvByteBufAllocator;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.route.CallerLimits;
import org.galenapost.core.route.RouteTable;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.daemon.gateway.run.AcceptedCall;
import org.galenapost.daemon.gateway.run.CallRun;
import org.galenapost.daemon.gateway.run.GatewayContext;
import org.galenapost.daemon.gateway.run.StreamTakeUp;
import org.galenapost.daemon.http.ConnectionSlots;
import org.galenapost.daemon.http.HeadTimer;
import org.galenapost.daemon.http.HttpPipeline;
import org.galenapost.daemon.http.ListenerOptions;
import org.galenapost.daemon.http.PipelineSetup;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.PendingWork;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.net.HeadBudget;

/** Sets up connections of callers and tracks the open ones. Must be used on one event loop. */
public final class CallerFrontend implements PipelineSetup {

  private static final EventLog LOG = EventLog.of(CallerFrontend.class);

  /**
   * How long a caller may leave a response unread; the deadline of the call usually ends it
   * earlier.
   */
  private static final Duration SLOW_READER_TIMEOUT = Duration.ofSeconds(30);

  private final GatewayContext context;
  private final RequestValidator validator;
  private final Supplier<Optional<RouteTable>> routes;
  private final DaemonState state;
  private final PendingWork calls;
  private final StreamTakeUp takeUps;
  private final HeadBudget heads;
  private final ConnectionSlots slots;
  private final BodyBudget bodies = BodyBudget.ofHeap(Runtime.getRuntime().maxMemory());
  private final Set<CallerConnection> connections = new HashSet<>();

  /**
   * Creates a frontend without connections.
   *
   * @param context the services that calls need
   * @param validator validates requests
   * @param routes the route table in force
   * @param state the daemon's phase
   * @param calls tracks the calls in progress
   * @param heads the room of the heads of all messages
   * @param slots bounds the open connections
   */
  public CallerFrontend(
      GatewayContext context,
      RequestValidator validator,
      Supplier<Optional<RouteTable>> routes,
      DaemonState state,
      PendingWork calls,
      HeadBudget heads,
      ConnectionSlots slots) {
    this.heads = heads;
    this.slots = slots;
    this.context = context;
    this.validator = validator;
    this.routes = routes;
    this.state = state;
    this.calls = calls;
    this.takeUps = new StreamTakeUp(context);
  }

  @Override
  public void setUp(ChannelPipeline pipeline) {
    CallerLimits limits = routes.get().map(RouteTable::limits).orElseGet(CallerLimits::defaults);
    Duration idleTimeout = Duration.ofMillis(limits.idleTimeoutMs());
    ListenerOptions options =
        new ListenerOptions(
            Integer.MAX_VALUE,
            limits.maxHeaderBytes(),
            limits.maxBodyBytes(),
            idleTimeout,
            idleTimeout,
            SLOW_READER_TIMEOUT);
    HttpPipeline http = new HttpPipeline(options, slots, () -> heads);
    http.connectionLimit().then(http).setUp(pipeline);
    HeadTimer.addTo(pipeline, HttpPipeline.CODEC_NAME, Duration.ofMillis(limits.headerTimeoutMs()));
    pipeline.addBefore(
        HttpPipeline.AGGREGATOR_NAME,
        "body-budget",
        new BodyBudgetHandler(bodies, limits.maxBodyBytes()));
    pipeline.channel().config().setRecvByteBufAllocator(readUntilEmpty());
    pipeline.addLast("gateway", new CallerConnection(this));
  }

  /** Returns an allocator that reads until nothing is left, so that a close is noticed at once. */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false);
  }

  MonotonicClock clock() {
    return context.clock();
  }

  RequestValidator validator() {
    return validator;
  }

  boolean isDraining() {
    return state.isDraining();
  }

  /** Creates the count of what the caller of a connection does not read. */
  UnreadBytes unreadBytes(Channel channel) {
    return new UnreadBytes(context.answerBuffers(), channel);
  }

  void addConnection(CallerConnection connection) {
    connections.add(connection);
  }

  void removeConnection(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns the bytes of all request bodies that are read or held. */
  public long bodyBytes() {
    return bodies.reservedBytes();
  }

  /** Returns the bytes that request bodies may take at most. */
  public long maxBodyBytes() {
    return bodies.maxBytes();
  }

  /** Closes the connections on which no call is in progress. */
  public void closeIdleConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Counts a call as in progress until the returned action runs. */
  Runnable beginCall() {
    return calls.begin();
  }

  /** Binds a call to the origin of the stream that it resumes. */
  void resolveOrigin(AcceptedCall call, Consumer<Either<Refusal, AcceptedCall>> onResult) {
    takeUps.resolve(call, name -> routes.get().flatMap(table -> table.service(name)), onResult);
  }

  CallRun newRun(AcceptedCall call, CallerExchange exchange) {
    return new CallRun(context, call, exchange);
  }

  void recordRefusal(Refusal refusal, String callId) {
    context.meters().recordRefusal(refusal);
    LOG.info("call_refused")
        .with("id", callId)
        .with("status", refusal.reason().httpStatus())
        .with("reason", refusal.reason().wireName())
        .with("verdict", refusal.verdict().wireName())
        .with("detail", refusal.detail())
        .with("configuration_version", routes.get().map(RouteTable::version).orElse(0L))
        .write();
  }
}
