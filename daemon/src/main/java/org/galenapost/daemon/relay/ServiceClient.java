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

/**
 * Sends attempts to plain services and reports the outcome of each. Each attempt has a connection
 * of its own: responses of plain services name no request, so a second copy of a response that
 * arrives late on a reused connection would be taken for the response to the next call.
 */
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
   * @param trySend called right before the first byte is sent; the request is not sent if it
   *     returns false
   * @param listener called once with the outcome
   * @return an action that cancels the attempt
   */
  Runnable send(
      ServiceRequest request, BooleanSupplier trySend, Consumer<ServiceOutcome> listener) {
    ListenableFuture<ServiceAnswer> future =
        builder(clients.unpooled(), request)
            .execute(new ServiceAnswerHandler(maxAnswerBytes, trySend, listener));
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

  private static void forwardHeader(
      HttpHeaders headers, CharSequence name, BoundRequestBuilder builder) {
    if (headers.contains(name)) {
      builder.setHeader(name, headers.get(name));
    }
  }
}
