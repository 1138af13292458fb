package org.galenapost.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.log.EventLog;

/** Builds the handlers of one connection between daemons. */
final class PeerPipeline {

  private static final EventLog LOG = EventLog.of(PeerPipeline.class);
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  private PeerPipeline() {}

  static void build(
      ChannelPipeline pipeline, TrafficMeter traffic, HandshakeHandler hello, Receiver receiver) {
    pipeline.addLast(traffic);
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new PeerCodec());
    pipeline.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    pipeline.addLast(hello);
    pipeline.addLast(new ReceivingHandler(receiver));
  }

  /** Gets the messages of a connection whose other side is proved. */
  @FunctionalInterface
  interface Receiver {
    void receive(PeerMessage message);
  }

  /** Hands messages over and closes a connection that is idle or faulty. */
  private static final class ReceivingHandler extends SimpleChannelInboundHandler<PeerMessage> {
    private final Receiver receiver;

    ReceivingHandler(Receiver receiver) {
      super(PeerMessage.class);
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
      receiver.receive(message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      LOG.info("peer_connection_failed")
          .with("address", context.channel().remoteAddress())
          .with("error", error)
          .write();
      context.close();
    }
  }
}
