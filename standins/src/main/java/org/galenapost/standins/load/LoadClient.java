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

/** The HTTP client of the tool. */
final class LoadClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);
  private static final int IO_THREADS = 4;

  private final AsyncHttpClient client;

  LoadClient(Duration longestCall) {
    client =
        asyncHttpClient(
            config()
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setReadTimeout(longestCall)
                .setRequestTimeout(longestCall)
                .setMaxRequestRetry(0)
                .setIoThreadsCount(IO_THREADS)
                .build());
  }

  /** Sends a request and collects the whole answer. */
  CompletableFuture<Response> send(Request request) {
    return client.executeRequest(request).toCompletableFuture();
  }

  /** Reads from a stand-in's own port, which answers soon or not at all. */
  CompletableFuture<Response> fetch(String url) {
    return send(new RequestBuilder().setUrl(url).setRequestTimeout(FETCH_TIMEOUT).build());
  }

  /** Sends a request whose answer goes to the handler as it comes. */
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
