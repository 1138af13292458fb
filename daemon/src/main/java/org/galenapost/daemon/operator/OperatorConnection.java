package org.galenapost.daemon.operator;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.http.BearerToken;
import org.galenapost.daemon.http.ConnectionFault;
import org.galenapost.daemon.log.EventLog;

/** Serves one operator's connection, whose requests come one at a time. */
final class OperatorConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final EventLog LOG = EventLog.of(OperatorConnection.class);

  private final OperatorRoutes routes;
  private final String token;

  OperatorConnection(OperatorRoutes routes, String token) {
    this.routes = routes;
    this.token = token;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    boolean isMalformed = request.decoderResult().isFailure();
    boolean isKeepAlive = !isMalformed && HttpUtil.isKeepAlive(request);
    CompletionStage<OperatorResponse> pending =
        isMalformed
            ? CompletableFuture.completedFuture(
                OperatorResponse.badRequest("The request is not well-formed HTTP/1.1."))
            : handleSafely(request);
    pending.thenAccept(response -> write(context, response, isKeepAlive));
  }

  private CompletionStage<OperatorResponse> handleSafely(FullHttpRequest request) {
    try {
      return handle(request).exceptionally(OperatorConnection::internalError);
    } catch (IllegalArgumentException e) {
      return CompletableFuture.completedFuture(OperatorResponse.badRequest(e.getMessage()));
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(internalError(e));
    }
  }

  private static OperatorResponse internalError(Throwable cause) {
    LOG.error("operator_request_failed").write(cause);
    return OperatorResponse.refused(
        Refusal.mayHaveRun(RefusalReason.INTERNAL_ERROR, "The daemon failed on this request."));
  }

  private CompletionStage<OperatorResponse> handle(FullHttpRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    Optional<OperatorRoutes.Match> match = routes.find(request.method(), query.rawPath());
    boolean isOpen = match.map(OperatorRoutes.Match::isOpen).orElse(false);
    if (!isOpen && !hasOperatorToken(request)) {
      return CompletableFuture.completedFuture(unauthenticated());
    }
    return match
        .map(route -> route.handler().handle(toOperatorRequest(request, query, route)))
        .orElseGet(() -> CompletableFuture.completedFuture(unknownRoute()));
  }

  private boolean hasOperatorToken(FullHttpRequest request) {
    return BearerToken.of(request.headers())
        .map(sent -> BearerToken.isEqual(sent, token))
        .orElse(false);
  }

  private static OperatorResponse unauthenticated() {
    return OperatorResponse.refused(
        Refusal.notRun(RefusalReason.UNAUTHENTICATED, "The operator token is required."));
  }

  private static OperatorResponse unknownRoute() {
    return OperatorResponse.notFound("There is nothing at this method and path.");
  }

  private static OperatorRequest toOperatorRequest(
      FullHttpRequest request, QueryStringDecoder query, OperatorRoutes.Match route) {
    Map<String, String> parameters = new LinkedHashMap<>();
    query.parameters().forEach((name, values) -> parameters.put(name, values.get(0)));
    String body = request.content().toString(StandardCharsets.UTF_8);
    return new OperatorRequest(route.pathParameters(), parameters, body);
  }

  private static void write(
      ChannelHandlerContext context, OperatorResponse response, boolean isKeepAlive) {
    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.httpStatus()),
            Unpooled.wrappedBuffer(body));
    message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (isKeepAlive) {
      context.writeAndFlush(message);
    } else {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ConnectionFault fault) {
      LOG.info("operator_connection_ended").with("fault", fault).write();
      write(context, OperatorResponse.badRequest("The connection ends: " + fault), false);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("operator_connection_failed").with("error", cause).write();
    context.close();
  }
}
