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

/** An open answer of server-sent events. */
public final class EventStream {

  private final Channel channel;
  private final boolean isKeepAlive;
  private boolean hasEnded;

  private EventStream(Channel channel, boolean isKeepAlive) {
    this.channel = channel;
    this.isKeepAlive = isKeepAlive;
  }

  static EventStream open(Channel channel, boolean isKeepAlive, Map<String, String> answerHeaders) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM);
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    answerHeaders.forEach(response.headers()::set);
    channel.writeAndFlush(response);
    return new EventStream(channel, isKeepAlive);
  }

  /** Returns whether the connection takes more without growing its buffer past the limit. */
  public boolean isWritable() {
    return !hasEnded && channel.isWritable();
  }

  /** Runs the action each time that the connection may take more. */
  public void onWritable(Runnable action) {
    channel.attr(ExchangeHandler.WRITABLE_LISTENER).set(action);
  }

  /** Runs the action if the connection closes before the answer ends. */
  public void onClose(Runnable action) {
    ExchangeHandler.setCloseListener(channel, action);
  }

  /** Sends one event; it stays in the buffer until {@link #flush}. */
  public void write(String data) {
    String event = "data: " + data + "\n\n";
    channel.write(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), event)));
  }

  /** Sends one numbered event. */
  public void write(long id, String data) {
    String event = "id: " + id + "\ndata: " + data + "\n\n";
    channel.writeAndFlush(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), event)));
  }

  /** Sends bytes that need not be a whole event. */
  public ChannelFuture writeRaw(byte[] bytes) {
    return channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Sends what was written. */
  public void flush() {
    channel.flush();
  }

  /** Ends the answer in order. */
  public void end() {
    hasEnded = true;
    ExchangeHandler.clearListeners(channel);
    ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!isKeepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection in the middle of the answer. */
  public void close() {
    hasEnded = true;
    channel.close();
  }

  /** Resets the connection in the middle of the answer. */
  public void reset() {
    hasEnded = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}
