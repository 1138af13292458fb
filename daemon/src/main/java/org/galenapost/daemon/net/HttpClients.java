package org.galenapost.daemon.net;

import io.netty.channel.EventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.netty.util.Timer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.galenapost.daemon.service.Service;

/**
 * The HTTP clients of the daemon. They do not retry requests automatically, follow redirects or
 * store cookies.
 */
public final class HttpClients implements Service {

  private static final Duration READ_TIMEOUT_DISABLED = Duration.ofMillis(-1);
  private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(15);

  private final Timer timer = new HashedWheelTimer(new DefaultThreadFactory("http-timer", true));
  private final AsyncHttpClient pooled;
  private final AsyncHttpClient unpooled;

  /**
   * Creates the clients.
   *
   * @param eventLoops the shared event loops
   * @param connectTimeout the timeout of a connection attempt
   */
  public HttpClients(EventLoopGroup eventLoops, Duration connectTimeout) {
    this.pooled = newClient(eventLoops, connectTimeout, true);
    this.unpooled = newClient(eventLoops, connectTimeout, false);
  }

  private AsyncHttpClient newClient(
      EventLoopGroup eventLoops, Duration connectTimeout, boolean isKeepAlive) {
    return Dsl.asyncHttpClient(
        new DefaultAsyncHttpClientConfig.Builder()
            .setEventLoopGroup(eventLoops)
            .setNettyTimer(timer)
            .setKeepAlive(isKeepAlive)
            .setConnectTimeout(connectTimeout)
            .setReadTimeout(READ_TIMEOUT_DISABLED)
            .setPooledConnectionIdleTimeout(IDLE_CONNECTION_TIMEOUT)
            .setSoSndBuf(ClientSockets.SEND_BUFFER_BYTES)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setCookieStore(null)
            .setHttpAdditionalChannelInitializer(ClientPipelines::makeStrict)
            .setDisableUrlEncodingForBoundRequests(true)
            .build());
  }

  /**
   * Returns the client that reuses connections, for requests that are safe to retry and whose
   * responses may be mistaken for each other, such as polls of an engine's state.
   */
  public AsyncHttpClient pooled() {
    return pooled;
  }

  /**
   * Returns the client that opens a new connection for each request. A request on a reused
   * connection can be lost when the server closes the connection at the same time.
   */
  public AsyncHttpClient unpooled() {
    return unpooled;
  }

  @Override
  public String name() {
    return "http-clients";
  }

  @Override
  public void start() {}

  @Override
  public void stop() {
    close(pooled);
    close(unpooled);
    timer.stop();
  }

  private static void close(AsyncHttpClient client) {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
