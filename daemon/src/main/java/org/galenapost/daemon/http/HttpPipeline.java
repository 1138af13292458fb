package org.galenapost.daemon.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.Optional;
import java.util.function.Supplier;
import org.galenapost.daemon.net.HeadAccount;
import org.galenapost.daemon.net.HeadBudget;

/** Adds the handlers that are common to all HTTP connections. */
public final class HttpPipeline implements PipelineSetup {

  /** The name of the HTTP codec in the pipeline. */
  public static final String CODEC_NAME = "codec";

  /** The name of the handler that aggregates requests. */
  public static final String AGGREGATOR_NAME = "aggregator";

  private final ListenerOptions options;
  private final ChannelHandler limiter;
  private final Optional<ConnectionSlots> slots;
  private final Supplier<HeadBudget> heads;

  /**
   * Creates the pipeline set-up of one listener that closes each connection beyond the limit.
   *
   * @param options the limits of the listener
   * @param onConnectionRefused called for each connection that is closed because of the limit
   */
  public HttpPipeline(ListenerOptions options, Runnable onConnectionRefused) {
    this.options = options;
    this.slots = Optional.empty();
    this.limiter = new ConnectionLimiter(options.maxConnections(), onConnectionRefused);
    this.heads = HeadBudget::unbounded;
  }

  /**
   * Creates the pipeline set-up of one listener whose heads share a budget with others.
   *
   * @param options the limits of the listener, of which the slots replace the one of connections
   * @param slots bounds the open connections of the listener
   * @param heads returns the room of the heads of a connection, which is used on its event loop
   */
  public HttpPipeline(ListenerOptions options, ConnectionSlots slots, Supplier<HeadBudget> heads) {
    this.options = options;
    this.slots = Optional.of(slots);
    this.limiter = slots;
    this.heads = heads;
  }

  /** Returns the set-up that closes connections beyond the limit. It must precede TLS. */
  public PipelineSetup connectionLimit() {
    return pipeline -> pipeline.addLast("limiter", limiter);
  }

  /**
   * Returns the set-up that passes on one request of a connection at a time. It must follow the one
   * of this pipeline.
   */
  public static PipelineSetup oneRequestAtATime() {
    return pipeline -> pipeline.addLast("sequencer", new RequestSequencer());
  }

  @Override
  public void setUp(ChannelPipeline pipeline) {
    pipeline.addLast(CODEC_NAME, new StrictServerCodec(decoderConfig(), account(pipeline)));
    pipeline.addLast("undelimited-answer-guard", new UndelimitedAnswerGuard());
    pipeline.addLast("slow-caller-guard", new SlowCallerGuard(options, slots));
    pipeline.addLast(AGGREGATOR_NAME, new RequestAggregator(options.maxBodyBytes()));
  }

  private HeadAccount account(ChannelPipeline pipeline) {
    HeadAccount account = new HeadAccount(heads.get(), () -> close(pipeline));
    pipeline.channel().closeFuture().addListener(closed -> account.close());
    return account;
  }

  /** Closes a connection after handlers that can answer have done so. */
  private static void close(ChannelPipeline pipeline) {
    pipeline.fireUserEventTriggered(ConnectionFault.HEAD_EVICTED);
    pipeline.channel().eventLoop().execute(pipeline.channel()::close);
  }

  private HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(options.maxHeaderBytes())
        .setMaxHeaderSize(options.maxHeaderBytes());
  }
}
