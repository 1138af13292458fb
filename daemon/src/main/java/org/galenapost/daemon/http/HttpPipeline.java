package org.galenapost.daemon.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** Sets up the handlers that every HTTP connection begins with. */
public final class HttpPipeline implements PipelineSetup {

  /** The name of the HTTP codec's handler. */
  public static final String CODEC_NAME = "codec";

  private final ListenerOptions options;
  private final ConnectionLimiter limiter;

  /**
   * Creates the set-up of one listener.
   *
   * @param options the limits
   * @param onConnectionRefused called for each connection beyond the limit
   */
  public HttpPipeline(ListenerOptions options, Runnable onConnectionRefused) {
    this.options = options;
    this.limiter = new ConnectionLimiter(options.maxConnections(), onConnectionRefused);
  }

  /** Returns the set-up that refuses connections beyond the limit; it comes before TLS. */
  public PipelineSetup connectionLimit() {
    return pipeline -> pipeline.addLast("limiter", limiter);
  }

  @Override
  public void setUp(ChannelPipeline pipeline) {
    pipeline.addLast(CODEC_NAME, new StrictServerCodec(decoderConfig()));
    pipeline.addLast("slow-caller-guard", new SlowCallerGuard(options));
    pipeline.addLast("aggregator", new RequestAggregator(options.maxBodyBytes()));
  }

  private HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(options.maxHeaderBytes())
        .setMaxHeaderSize(options.maxHeaderBytes());
  }
}
