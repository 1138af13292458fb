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

/** Adds the handlers of one connection between daemons. */
final class PeerPipeline {

  private static final EventLog LOG = EventLog.of(PeerPipeline.class);
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** Holds a challenge or a proof. A peer without the secret could fill the memory with more. */
  private static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  private static final String FRAMES_NAME = "frames";
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  private PeerPipeline() {}

  static void build(
      ChannelPipeline pipeline,
      TrafficMeter traffic,
      HandshakeHandler handshake,
      Receiver receiver) {
    pipeline.addLast(traffic);
    pipeline.addLast(FRAMES_NAME, frameDecoder(MAX_HANDSHAKE_FRAME_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new PeerCodec());
    pipeline.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    pipeline.addLast(handshake);
    pipeline.addLast(new ReceivingHandler(receiver));
  }

  /** Admits frames of all messages, once the peer is authenticated. */
  static void admitAllFrames(ChannelPipeline pipeline) {
    if (pipeline.get(FRAMES_NAME) != null) {
      pipeline.replace(FRAMES_NAME, FRAMES_NAME, frameDecoder(MAX_FRAME_BYTES));
    }
  }

  private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }

  /** Receives the messages of a connection whose peer is authenticated. */
  @FunctionalInterface
  interface Receiver {
    void receive(PeerMessage message);
  }

  /** Passes messages to the receiver and closes the connection when it is idle or fails. */
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
