package org.galenapost.standins.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Forwards the bytes that one connection receives to the other. */
final class RelayHandler extends ChannelInboundHandlerAdapter {

  private final Relay relay;
  private final Direction direction;
  private final Impairments impairments;
  private final Channel receiver;
  private final Queue<DelayedAction> delayedActions = new ArrayDeque<>();

  RelayHandler(Relay relay, Direction direction, Impairments impairments, Channel receiver) {
    this.relay = relay;
    this.direction = direction;
    this.impairments = impairments;
    this.receiver = receiver;
  }

  Channel receiver() {
    return receiver;
  }

  void updateAutoRead(Channel sender) {
    sender.config().setAutoRead(receiver.isWritable() && !impairments.isBlocked(direction));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (impairments.drops(direction)) {
      ReferenceCountUtil.release(message);
      relay.markLostBytes();
      return;
    }
    runAfterDelay(() -> receiver.writeAndFlush(message));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    runAfterDelay(
        () ->
            receiver.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    relay.updateAutoRead();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    relay.reset();
  }

  /** Runs actions in order of arrival, even if a shorter delay follows a longer one. */
  private void runAfterDelay(Runnable action) {
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(impairments.delayMs());
    delayedActions.add(new DelayedAction(dueNanos, action));
    if (delayedActions.size() == 1) {
      runDue();
    }
  }

  private void runDue() {
    for (DelayedAction next = delayedActions.peek(); next != null; next = delayedActions.peek()) {
      long remainingNanos = next.dueNanos() - System.nanoTime();
      if (remainingNanos > 0) {
        receiver.eventLoop().schedule(this::runDue, remainingNanos, TimeUnit.NANOSECONDS);
        return;
      }
      delayedActions.remove();
      next.action().run();
    }
  }

  private record DelayedAction(long dueNanos, Runnable action) {}
}
