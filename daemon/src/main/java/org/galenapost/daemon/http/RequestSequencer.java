package org.galenapost.daemon.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes on the requests of one connection one at a time, each after the response to the one before
 * has left. While many requests wait, the connection is not read. A caller that pipelines requests
 * and reads no responses thus has at most one response in the memory of the daemon.
 */
final class RequestSequencer extends ChannelDuplexHandler {

  private static final int MAX_WAITING_REQUESTS = 16;

  private final Deque<FullHttpRequest> waitingRequests = new ArrayDeque<>();
  private boolean isAwaitingResponse;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof FullHttpRequest request)) {
      context.fireChannelRead(message);
      return;
    }
    waitingRequests.addLast(request);
    if (waitingRequests.size() >= MAX_WAITING_REQUESTS) {
      context.channel().config().setAutoRead(false);
    }
    passOnNext(context);
  }

  private void passOnNext(ChannelHandlerContext context) {
    if (isAwaitingResponse || waitingRequests.isEmpty() || !context.channel().isActive()) {
      return;
    }
    isAwaitingResponse = true;
    context.fireChannelRead(waitingRequests.pollFirst());
    if (waitingRequests.size() < MAX_WAITING_REQUESTS) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!(message instanceof LastHttpContent) || isInterim) {
      context.write(message, promise);
      return;
    }
    ChannelPromise observed = promise.unvoid();
    // A task of its own, since a chain of short responses would nest one call in the other.
    observed.addListener(written -> context.executor().execute(() -> onResponseLeft(context)));
    context.write(message, observed);
  }

  private void onResponseLeft(ChannelHandlerContext context) {
    isAwaitingResponse = false;
    passOnNext(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    releaseWaitingRequests();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    releaseWaitingRequests();
  }

  private void releaseWaitingRequests() {
    waitingRequests.forEach(ReferenceCountUtil::release);
    waitingRequests.clear();
  }
}
