package org.galenapost.daemon.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.galenapost.core.platform.PlatformCircuitBreaker;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.daemon.net.ClientPipelines;
import org.galenapost.daemon.net.ClientSockets;
import org.galenapost.daemon.net.IpAddresses;
import org.galenapost.daemon.net.KeepAliveProbes;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.PlatformSettings;

/**
 * Calls the platform with request timeouts. Short calls go through a circuit breaker and fail
 * immediately while it is open.
 */
public final class PlatformHttpClient implements Service {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_CONNECTIONS = 256;

  /**
   * The response to a long poll may take this share of the heap. It holds all changes at once,
   * while a listing comes in pages that the platform bounds.
   */
  private static final double LONG_POLL_HEAP_SHARE = 0.0625;

  /** Leaves room for the change of one object of the largest size on any heap. */
  private static final long MIN_LONG_POLL_BYTES = 4 * 1024 * 1024;

  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int FIRST_SERVER_ERROR = 500;

  private final PlatformSettings settings;
  private final PlatformCircuitBreaker circuitBreaker;
  private final AsyncHttpClientConfig config;
  private final AsyncHttpClient client;
  private final long maxLongPollBytes;

  /** Creates a client that runs on the daemon's event loops. */
  public PlatformHttpClient(
      PlatformSettings settings, PlatformCircuitBreaker circuitBreaker, EventLoopGroup eventLoops) {
    this(settings, circuitBreaker, eventLoops, defaultMaxLongPollBytes());
  }

  /**
   * Creates a client that reads responses to long polls up to a given size.
   *
   * @param settings the settings
   * @param circuitBreaker refuses short calls while the platform is down
   * @param eventLoops the event loops that serve the connections
   * @param maxLongPollBytes the largest body of the response to a long poll
   */
  public PlatformHttpClient(
      PlatformSettings settings,
      PlatformCircuitBreaker circuitBreaker,
      EventLoopGroup eventLoops,
      long maxLongPollBytes) {
    this.maxLongPollBytes = maxLongPollBytes;
    this.settings = settings;
    this.circuitBreaker = circuitBreaker;
    DefaultAsyncHttpClientConfig.Builder builder = Dsl.config();
    KeepAliveProbes.set(builder::addChannelOption);
    this.config =
        builder
            .setEventLoopGroup(eventLoops)
            .setMaxConnections(MAX_CONNECTIONS)
            .setConnectTimeout(CONNECT_TIMEOUT)
            .setPooledConnectionIdleTimeout(IDLE_CONNECTION_TIMEOUT)
            .setSoSndBuf(ClientSockets.SEND_BUFFER_BYTES)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setCookieStore(null)
            .setHttpAdditionalChannelInitializer(ClientPipelines::makeStrict)
            .setDisableUrlEncodingForBoundRequests(true)
            .setSslEngineFactory(PlatformHttpClient::rejectTls)
            .build();
    this.client = Dsl.asyncHttpClient(config);
  }

  private static long defaultMaxLongPollBytes() {
    long heapShareBytes = (long) (Runtime.getRuntime().maxMemory() * LONG_POLL_HEAP_SHARE);
    return Math.max(MIN_LONG_POLL_BYTES, heapShareBytes);
  }

  /** Replaces the default factory, which loads all trusted certificates when the client starts. */
  private static SSLEngine rejectTls(AsyncHttpClientConfig config, String host, int port) {
    throw new IllegalStateException(
        "the platform is called without TLS, but TLS was requested for " + host + ":" + port);
  }

  @Override
  public String name() {
    return "platform-client";
  }

  @Override
  public void start() {}

  @Override
  public void stop() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot close the HTTP client of the platform", e);
    }
  }

  /** Returns a builder of a request without a body. */
  public RequestBuilder request(String method, String pathAndQuery) {
    return new RequestBuilder(method)
        .setUrl("http://" + settings.address() + pathAndQuery)
        .setAddress(IpAddresses.address(settings.address().ip()));
  }

  /** Returns a builder of a request with a JSON body. */
  public RequestBuilder jsonRequest(String method, String pathAndQuery, String json) {
    return request(method, pathAndQuery)
        .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .setBody(json);
  }

  /**
   * The longest time that the response to a long poll may take after the platform stops holding it.
   * It is ten times the time of a slow response.
   */
  private static final Duration MAX_LONG_POLL_MARGIN = Duration.ofMillis(800);

  /** Makes a short call through the circuit breaker. */
  public CompletionStage<Either<PlatformError, Response>> call(RequestBuilder request) {
    if (!circuitBreaker.tryAcquirePermission()) {
      return CompletableFuture.completedFuture(
          Either.left(new PlatformError.Unavailable("the platform is held to be down")));
    }
    return send(request, settings.requestTimeout(), Long.MAX_VALUE).thenApply(this::recordResult);
  }

  /**
   * Makes a long poll, which the platform may hold until something changes. Long polls bypass the
   * circuit breaker: one that is held gives no information about the platform, and it would take
   * the place of a short probe call that detects recovery immediately.
   *
   * @param request the request
   * @param maxWait how long the platform may hold the request
   * @return the response, or the error of the call, which is {@link PlatformError.TooLarge} if the
   *     response would take too much of the memory
   */
  public CompletionStage<Either<PlatformError, Response>> longPollCall(
      RequestBuilder request, Duration maxWait) {
    Duration margin = settings.requestTimeout();
    margin = margin.compareTo(MAX_LONG_POLL_MARGIN) < 0 ? margin : MAX_LONG_POLL_MARGIN;
    return send(request, maxWait.plus(margin), maxLongPollBytes)
        .thenApply(result -> result.flatMap(PlatformHttpClient::checkStatus));
  }

  private CompletableFuture<Either<PlatformError, Response>> send(
      RequestBuilder request, Duration timeout, long maxBodyBytes) {
    PlatformCall call = new PlatformCall(this::closeIdleConnections, maxBodyBytes);
    request.setRequestTimeout(timeout).setReadTimeout(timeout);
    try {
      client.executeRequest(request.build(), call);
    } catch (RuntimeException e) {
      call.onThrowable(e);
    }
    return call.result();
  }

  /** After a connection fell silent, the idle ones may be silent too and would delay retries. */
  private void closeIdleConnections() {
    client.flushChannelPoolPartitions(partition -> true);
  }

  private Either<PlatformError, Response> recordResult(Either<PlatformError, Response> callResult) {
    Either<PlatformError, Response> result = callResult.flatMap(PlatformHttpClient::checkStatus);
    boolean isRateExceeded =
        callResult.isRight() && callResult.get().getStatusCode() == STATUS_TOO_MANY_REQUESTS;
    if (result.isRight()) {
      circuitBreaker.recordSuccess();
    } else if (!isRateExceeded) {
      circuitBreaker.recordFailure();
    }
    return result;
  }

  private static Either<PlatformError, Response> checkStatus(Response response) {
    int status = response.getStatusCode();
    if (status == STATUS_TOO_MANY_REQUESTS) {
      return Either.left(new PlatformError.Overloaded("the platform's rate is exceeded"));
    }
    if (status == STATUS_SERVICE_UNAVAILABLE) {
      return Either.left(new PlatformError.Unavailable("the platform reports an outage"));
    }
    if (status >= FIRST_SERVER_ERROR) {
      return Either.left(new PlatformError.AnswerLost("the platform answered " + status));
    }
    return Either.right(response);
  }
}
