package org.galenapost.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent and received on the sockets of all connections between daemons. */
@Sharable
public final class TrafficMeter extends ChannelDuplexHandler {

  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();

  /** Returns the number of bytes sent so far. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the number of bytes received so far. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      receivedBytes.add(bytes.readableBytes());
    }
    super.channelRead(context, message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) {
      sentBytes.add(bytes.readableBytes());
    }
    super.write(context, message, promise);
  }
}
