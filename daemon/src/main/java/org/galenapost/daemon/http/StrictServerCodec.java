package org.galenapost.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.galenapost.daemon.net.HeadAccount;
import org.galenapost.daemon.net.ReadBuffers;

/**
 * Decodes requests and encodes responses like {@code HttpServerCodec}, but rejects a request with
 * both {@code Content-Length} and chunked transfer encoding as malformed. Two parsers may disagree
 * on where such a request ends, which allows request smuggling. The memory of each request's head
 * is charged to an account from its first byte until its response is encoded.
 */
final class StrictServerCodec
    extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

  private final Queue<HttpMethod> unansweredMethods = new ArrayDeque<>();

  private final HeadAccount heads;

  StrictServerCodec(HttpDecoderConfig config, HeadAccount heads) {
    this.heads = heads;
    init(new Decoder(heads.addTo(config)), new Encoder());
  }

  private final class Decoder extends HttpRequestDecoder {

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
        throws Exception {
      int sizeBefore = out.size();
      if (buffer.isReadable()) {
        heads.beginMessage();
      }
      super.decode(context, buffer, out);
      for (Object message : out.subList(sizeBefore, out.size())) {
        if (message instanceof HttpRequest request) {
          unansweredMethods.add(request.method());
        }
        if (message instanceof LastHttpContent) {
          heads.completeMessage();
        }
      }
      heads.setUndecodedBytes(buffer.readableBytes());
    }

    /** Only now are the parts of the buffer that were decoded no longer in use. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      super.channelReadComplete(context);
      if (!context.isRemoved()) {
        ReadBuffers.shrink(internalBuffer());
      }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "request has both Content-Length and chunked Transfer-Encoding");
    }
  }

  private final class Encoder extends HttpResponseEncoder {

    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      boolean isInterim =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      super.encode(context, message, out);
      if (message instanceof LastHttpContent && !isInterim) {
        heads.endCall();
      }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        return super.isContentAlwaysEmpty(response);
      }
      HttpMethod method = unansweredMethods.poll();
      return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }
  }
}
