package org.galenapost.daemon.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** Adds the handlers that are common to all HTTP connections. */
public final class HttpPipeline implements PipelineSetup {

  /** The name of the HTTP codec in the pipeline. */
  public static final String CODEC_NAME = "codec";

  /** The name of the handler that aggregates requests. */
  public static final String AGGREGATOR_NAME = "aggregator";

  private final ListenerOptions options;
  private final ConnectionLimiter limiter;

  /**
   * Creates the pipeline set-up of one listener.
   *
   * @param options the limits of the listener
   * @param onConnectionRefused called for each connection that is closed because of the limit
   */
  public HttpPipeline(ListenerOptions options, Runnable onConnectionRefused) {
    this.options = options;
    this.limiter = new ConnectionLimiter(options.maxConnections(), onConnectionRefused);
  }

  /** Returns the set-up that closes connections beyond the limit. It must precede TLS. */
  public PipelineSetup connectionLimit() {
    return pipeline -> pipeline.addLast("limiter", limiter);
  }

  @Override
  public void setUp(ChannelPipeline pipeline) {
    pipeline.addLast(CODEC_NAME, new StrictServerCodec(decoderConfig()));
    pipeline.addLast("undelimited-answer-guard", new UndelimitedAnswerGuard());
    pipeline.addLast("slow-caller-guard", new SlowCallerGuard(options));
    pipeline.addLast(AGGREGATOR_NAME, new RequestAggregator(options.maxBodyBytes()));
  }

  private HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(options.maxHeaderBytes())
        .setMaxHeaderSize(options.maxHeaderBytes());
  }
}
