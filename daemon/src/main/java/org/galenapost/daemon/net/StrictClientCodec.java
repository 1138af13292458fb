package org.galenapost.daemon.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Encodes requests and decodes responses like {@code HttpClientCodec}, for connections that carry
 * one request at a time. Bytes that arrive while no request waits for its response belong to none
 * and may be a part of one; decoded together with the next response they would give it their status
 * or swallow it. The codec drops them, fires {@link UnrequestedBytes} and closes the connection. A
 * head that was read from parts of two, one whose status has not three digits from 100 on, and
 * informational responses without end are decoded as failures.
 */
public final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictClientCodec.Decoder, StrictClientCodec.Encoder> {

  private static final Pattern STATUS = Pattern.compile("[1-9]\\d\\d");

  /** Servers send few informational responses; without a bound they could delay the final one. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  private HttpMethod requestMethod;
  private boolean isResponseAwaited;
  private int informationalResponses;
  private final HeadAccount heads;

  /** Creates the codec of one connection, whose heads are charged to an account. */
  public StrictClientCodec(HttpDecoderConfig config, HeadAccount heads) {
    this.heads = heads;
    init(new Decoder(heads.addTo(config)), new Encoder());
  }

  /** Creates the codec of one connection, with the limits of the heads of responses. */
  public StrictClientCodec(HttpDecoderConfig config) {
    this(config, new HeadAccount(HeadBudget.unbounded(), () -> {}));
  }

  /**
   * Makes the codec take a further response to the current request, after one that belongs to
   * another request.
   */
  public void awaitFurtherResponse() {
    isResponseAwaited = true;
  }

  /**
   * A user event: bytes arrived that belong to no request.
   *
   * @param count the number of bytes
   */
  public record UnrequestedBytes(int count) {}

  /** Decodes responses. */
  final class Decoder extends HttpResponseDecoder {

    private boolean isInformational;
    private boolean isHeadComplete;

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
        throws Exception {
      if (!isResponseAwaited) {
        rejectUnrequested(context, buffer);
        return;
      }
      int sizeBefore = out.size();
      if (!isHeadComplete && buffer.isReadable()) {
        heads.beginMessage();
      }
      super.decode(context, buffer, out);
      out.subList(sizeBefore, out.size()).forEach(this::onDecoded);
      if (!isHeadComplete) {
        heads.setUndecodedBytes(buffer.readableBytes());
      }
    }

    /** Counts what is left of a body only here, as the bytes before hold chunks to decode. */
    @Override
    protected void callDecode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) {
      super.callDecode(context, buffer, out);
      if (isHeadComplete) {
        heads.setUndecodedBodyBytes(buffer.readableBytes());
      }
    }

    /** Only now are the parts of the buffer that were decoded no longer in use. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
      super.channelReadComplete(context);
      if (!context.isRemoved()) {
        ReadBuffers.shrink(internalBuffer());
      }
    }

    private void onDecoded(Object message) {
      if (message instanceof HttpResponse response) {
        isInformational = isInformational(response);
        isHeadComplete = true;
        heads.completeMessage();
        informationalResponses += isInformational ? 1 : 0;
        faultOf(response)
            .filter(fault -> response.decoderResult().isSuccess())
            .ifPresent(fault -> response.setDecoderResult(failure(fault)));
      }
      if (message instanceof LastHttpContent) {
        isHeadComplete = false;
        heads.completeMessage();
      }
      if (message instanceof LastHttpContent && !isInformational) {
        isResponseAwaited = false;
      }
    }

    private Optional<String> faultOf(HttpResponse response) {
      return informationalResponses > MAX_INFORMATIONAL_RESPONSES
          ? Optional.of(informationalResponses + " informational responses to one request")
          : MergedHeads.findSign(response).map(sign -> "a head made of two: " + sign);
    }

    private static DecoderResult failure(String fault) {
      return DecoderResult.failure(new CorruptedFrameException(fault));
    }

    /** The library takes any number, and no client knows what others than these mean. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
      if (!STATUS.matcher(initialLine[1]).matches()) {
        throw new CorruptedFrameException("not a status of HTTP: " + initialLine[1]);
      }
      return super.createMessage(initialLine);
    }

    /** The decoder would drop the length, with which the end of the response is in doubt. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new CorruptedFrameException("a response has both a length and chunks");
    }

    private void rejectUnrequested(ChannelHandlerContext context, ByteBuf buffer) {
      int count = buffer.readableBytes();
      if (count > 0) {
        buffer.skipBytes(count);
        context.fireUserEventTriggered(new UnrequestedBytes(count));
        context.close();
      }
    }

    /** No request asks for another protocol, after which the decoder would pass on no response. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
      return false;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return HttpMethod.HEAD.equals(requestMethod)
          || isInformational((HttpResponse) message)
          || super.isContentAlwaysEmpty(message);
    }

    private static boolean isInformational(HttpResponse response) {
      return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
  }

  /** Encodes requests. */
  final class Encoder extends HttpRequestEncoder {

    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        requestMethod = request.method();
        isResponseAwaited = true;
        informationalResponses = 0;
      }
      super.encode(context, message, out);
    }
  }
}
