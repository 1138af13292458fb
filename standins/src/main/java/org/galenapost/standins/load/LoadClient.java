package org.galenapost.standins.load;

import static org.asynchttpclient.Dsl.asyncHttpClient;
import static org.asynchttpclient.Dsl.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/** The HTTP client of the load tool. It never retries a request by itself. */
final class LoadClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);
  private static final int IO_THREADS = 4;

  private final AsyncHttpClient client;

  LoadClient(Duration callTimeout) {
    client =
        asyncHttpClient(
            config()
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setReadTimeout(callTimeout)
                .setRequestTimeout(callTimeout)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(IO_THREADS)
                .build());
  }

  /** Sends a request and collects the complete response. */
  CompletableFuture<Response> send(Request request) {
    return client.executeRequest(request).toCompletableFuture();
  }

  /** Fetches a URL of a stand-in, with a short timeout. */
  CompletableFuture<Response> fetch(String url) {
    return send(new RequestBuilder().setUrl(url).setRequestTimeout(FETCH_TIMEOUT).build());
  }

  /** Sends a request and streams the response to the handler. */
  void stream(Request request, AsyncHandler<Void> handler) {
    client.executeRequest(request, handler);
  }

  void stop() {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
