package org.galenapost.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.galenapost.daemon.lifecycle.DaemonState;

/** Answers the load balancer's probe of whether the daemon is ready for requests. */
final class ReadinessHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private final DaemonState state;
  private final String path;

  ReadinessHandler(DaemonState state, String path) {
    this.state = state;
    this.path = path;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    boolean isKnownPath = !request.decoderResult().isFailure() && request.uri().equals(path);
    Optional<String> reason =
        isKnownPath ? state.notReadyReason() : Optional.of("no such path; ask for " + path);
    HttpResponseStatus status = HttpResponseStatus.OK;
    if (reason.isPresent()) {
      status = isKnownPath ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.copiedBuffer(reason.orElse("ready") + "\n", StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    boolean isKeepAlive = HttpUtil.isKeepAlive(request);
    HttpUtil.setKeepAlive(response, isKeepAlive);
    ChannelFuture written = context.writeAndFlush(response);
    if (!isKeepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
