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

/** Passes what one connection receives on to the other. */
final class RelayHandler extends ChannelInboundHandlerAdapter {

  private final Relay relay;
  private final Direction direction;
  private final Impairments impairment;
  private final Channel receiver;
  private final Queue<Delayed> delayed = new ArrayDeque<>();

  RelayHandler(Relay relay, Direction direction, Impairments impairment, Channel receiver) {
    this.relay = relay;
    this.direction = direction;
    this.impairment = impairment;
    this.receiver = receiver;
  }

  Channel receiver() {
    return receiver;
  }

  void updateAutoRead(Channel sender) {
    sender.config().setAutoRead(receiver.isWritable() && !impairment.isBlocked(direction));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (impairment.drops(direction)) {
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

  /** Runs actions in their order, also when a shorter delay follows a longer one. */
  private void runAfterDelay(Runnable action) {
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(impairment.delayMs());
    delayed.add(new Delayed(dueNanos, action));
    if (delayed.size() == 1) {
      runDue();
    }
  }

  private void runDue() {
    for (Delayed next = delayed.peek(); next != null; next = delayed.peek()) {
      long leftNanos = next.dueNanos() - System.nanoTime();
      if (leftNanos > 0) {
        receiver.eventLoop().schedule(this::runDue, leftNanos, TimeUnit.NANOSECONDS);
        return;
      }
      delayed.remove();
      next.action().run();
    }
  }

  private record Delayed(long dueNanos, Runnable action) {}
}
