package org.galenapost.standins.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Map;

/** An open response of server-sent events. */
public final class EventStream {

  private final Channel channel;
  private final boolean isKeepAlive;
  private boolean hasEnded;

  private EventStream(Channel channel, boolean isKeepAlive) {
    this.channel = channel;
    this.isKeepAlive = isKeepAlive;
  }

  static EventStream open(
      Channel channel, boolean isKeepAlive, Map<String, String> responseHeaders) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM);
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    responseHeaders.forEach(response.headers()::set);
    channel.writeAndFlush(response);
    return new EventStream(channel, isKeepAlive);
  }

  /** Returns whether the stream is open and its write buffer is below the limit. */
  public boolean isWritable() {
    return !hasEnded && channel.isWritable();
  }

  /** Sets an action that runs each time the connection becomes writable again. */
  public void onWritable(Runnable action) {
    channel.attr(ExchangeHandler.WRITABLE_LISTENER).set(action);
  }

  /** Sets an action that runs if the connection closes before the response is complete. */
  public void onClose(Runnable action) {
    ExchangeHandler.setCloseListener(channel, action);
  }

  /** Writes one event into the buffer; {@link #flush} sends it. */
  public void write(String data) {
    String event = "data: " + data + "\n\n";
    channel.write(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), event)));
  }

  /** Sends one event with an id. */
  public void write(long id, String data) {
    String event = "id: " + id + "\ndata: " + data + "\n\n";
    channel.writeAndFlush(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), event)));
  }

  /** Sends bytes, which need not be a complete event. */
  public ChannelFuture writeRaw(byte[] bytes) {
    return channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Sends the buffered events. */
  public void flush() {
    channel.flush();
  }

  /** Completes the response. */
  public void end() {
    hasEnded = true;
    ExchangeHandler.clearListeners(channel);
    ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!isKeepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection before the response is complete. */
  public void close() {
    hasEnded = true;
    channel.close();
  }

  /** Resets the connection before the response is complete. */
  public void reset() {
    hasEnded = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}
