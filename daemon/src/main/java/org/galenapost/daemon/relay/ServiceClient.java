package org.galenapost.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.ListenableFuture;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.daemon.caller.CallerResponse;
import org.galenapost.daemon.caller.ServiceAnswer;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.net.IpAddresses;
import org.galenapost.daemon.settings.SocketAddressSetting;

/** Sends single attempts to plain services and reports how each ended. */
final class ServiceClient {

  private static final String ATTEMPT_HEADER = "Galenapost-Attempt";
  private static final List<CharSequence> FORWARDED_HEADERS =
      List.of(
          HttpHeaderNames.CONTENT_TYPE,
          HttpHeaderNames.ACCEPT,
          HttpHeaderNames.ACCEPT_LANGUAGE,
          "Idempotency-Key");

  private final HttpClients clients;
  private final int maxAnswerBytes;

  ServiceClient(HttpClients clients, int maxAnswerBytes) {
    this.clients = clients;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Sends an attempt.
   *
   * @param request the attempt
   * @param mayLeave asked right before the first byte leaves
   * @param listener hears once how it ended
   * @return an action that gives the attempt up
   */
  Runnable send(
      ServiceRequest request, BooleanSupplier mayLeave, Consumer<ServiceOutcome> listener) {
    boolean isAction = request.attemptId().isPresent();
    AsyncHttpClient client = isAction ? clients.unpooled() : clients.pooled();
    ListenableFuture<ServiceAnswer> future =
        builder(client, request)
            .execute(new ServiceAnswerHandler(maxAnswerBytes, mayLeave, listener));
    return () -> future.cancel(true);
  }

  private static BoundRequestBuilder builder(AsyncHttpClient client, ServiceRequest request) {
    BackendServer server = request.server();
    String authority = new SocketAddressSetting(server.ip(), server.port()).toString();
    BoundRequestBuilder builder =
        client
            .prepare(request.method(), "http://" + authority + request.uri())
            .setAddress(IpAddresses.address(server.ip()))
            .setRequestTimeout(request.timeout())
            .setHeader(CallerResponse.REQUEST_ID_HEADER, request.requestId());
    if (request.body().length > 0) {
      builder.setBody(request.body());
    }
    request.attemptId().ifPresent(attemptId -> builder.setHeader(ATTEMPT_HEADER, attemptId));
    FORWARDED_HEADERS.forEach(name -> forwardHeader(request.callerHeaders(), name, builder));
    return builder;
  }

  private static void forwardHeader(HttpHeaders headers, CharSequence name, BoundRequestBuilder builder) {
    if (headers.contains(name)) {
      builder.setHeader(name, headers.get(name));
    }
  }
}
