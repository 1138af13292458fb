package org.galenapost.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Encodes requests and decodes responses like {@code HttpClientCodec}, for connections that carry
 * one request at a time, and tells how many bytes it holds that make up no message yet.
 */
public final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictClientCodec.Decoder, StrictClientCodec.Encoder> {

  private HttpMethod requestMethod;

  /** Creates the codec of one connection, with the limits of the heads of responses. */
  public StrictClientCodec(HttpDecoderConfig config) {
    init(new Decoder(config), new Encoder());
  }

  /** Returns the number of bytes that were received and make up no message yet. */
  public int undecodedBytes() {
    return inboundHandler().bufferedBytes();
  }

  /** Decodes responses. */
  final class Decoder extends HttpResponseDecoder {

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    int bufferedBytes() {
      return actualReadableBytes();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
    }
  }

  /** Encodes requests. */
  final class Encoder extends HttpRequestEncoder {

    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        requestMethod = request.method();
      }
      super.encode(context, message, out);
    }
  }
}
