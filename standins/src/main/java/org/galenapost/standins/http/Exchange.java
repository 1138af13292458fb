package org.galenapost.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.galenapost.standins.json.Json;

/** One request and the ways to answer it. */
public final class Exchange {

  private static final int OK = 200;

  private final Channel channel;
  private final String target;
  private final HttpMethod method;
  private final String path;
  private final String rawPath;
  private final Map<String, List<String>> query;
  private final HttpHeaders headers;
  private final String body;
  private final boolean isKeepAlive;
  private Map<String, String> pathParameters = Map.of();

  Exchange(Channel channel, FullHttpRequest request) {
    QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
    this.channel = channel;
    this.target = request.uri();
    this.method = request.method();
    this.path = decoder.path();
    this.rawPath = decoder.rawPath();
    this.query = decoder.parameters();
    this.headers = request.headers().copy();
    this.body = request.content().toString(StandardCharsets.UTF_8);
    this.isKeepAlive = HttpUtil.isKeepAlive(request);
  }

  /** Returns the request's method. */
  public HttpMethod method() {
    return method;
  }

  /** Returns the request's decoded path. */
  public String path() {
    return path;
  }

  /** Returns the request's path with its escapes. */
  public String rawPath() {
    return rawPath;
  }

  /** Returns a part of the path by its name in the route's template. */
  public String pathParameter(String name) {
    return pathParameters.get(name);
  }

  void setPathParameters(Map<String, String> parameters) {
    pathParameters = Map.copyOf(parameters);
  }

  /** Returns the first query parameter of that name. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(query.get(name)).map(values -> values.get(0));
  }

  /**
   * Returns a query parameter as a whole number.
   *
   * @throws HttpError if it is not a number
   */
  public long queryLong(String name, long absent) {
    try {
      return query(name).map(Long::parseLong).orElse(absent);
    } catch (NumberFormatException e) {
      throw HttpError.badRequest("expected a whole number in " + name);
    }
  }

  /** Returns the first header of that name. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body as text. */
  public String body() {
    return body;
  }

  /**
   * Returns the body read as JSON; an empty body counts as an empty object.
   *
   * @throws HttpError if the body is no JSON of that type
   */
  public <T> T body(Class<T> type) {
    try {
      T value = Json.read(body.isBlank() ? "{}" : body, type);
      if (value == null) {
        throw HttpError.badRequest("expected a document, but found null");
      }
      return value;
    } catch (JsonProcessingException e) {
      if (e.getCause() instanceof HttpError error) {
        throw error;
      }
      throw HttpError.badRequest(e.getOriginalMessage());
    }
  }

  /** Answers with status 200 and a JSON document. */
  public void replyOk(Object document) {
    reply(OK, document);
  }

  /** Answers with a JSON document. */
  public void reply(int status, Object document) {
    reply(status, "application/json", Json.write(document));
  }

  /** Answers with an error document. */
  public void replyError(int status, String message) {
    reply(status, new ErrorBody(message));
  }

  /** Answers with text of the given media type. */
  public void reply(int status, String mediaType, String text) {
    reply(status, Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), mediaType), text);
  }

  /** Answers with text and headers. */
  public void reply(int status, Map<String, String> answerHeaders, String text) {
    ByteBuf content = ByteBufUtil.writeUtf8(channel.alloc(), text);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    answerHeaders.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    ExchangeHandler.clearListeners(channel);
    if (isKeepAlive) {
      channel.writeAndFlush(response);
      return;
    }
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Begins an answer of server-sent events. */
  public EventStream openEventStream() {
    return openEventStream(Map.of());
  }

  /** Begins an answer of server-sent events with further headers. */
  public EventStream openEventStream(Map<String, String> answerHeaders) {
    return EventStream.open(channel, isKeepAlive, answerHeaders);
  }

  /** Sends text that need not be an answer. */
  public void replyRaw(String text) {
    channel.pipeline().firstContext().writeAndFlush(ByteBufUtil.writeUtf8(channel.alloc(), text));
  }

  /** Returns the path with its query, as it was sent. */
  public String target() {
    return target;
  }

  /** Resets the connection without an answer. */
  public void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Returns all headers of the request. */
  public Map<String, String> headers() {
    Map<String, String> all = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    headers.forEach(entry -> all.put(entry.getKey(), entry.getValue()));
    return all;
  }

  /** Closes the connection without an answer. */
  public void closeWithoutResponse() {
    channel.close();
  }

  /** Runs the action if the connection closes before the answer. */
  public void onClose(Runnable action) {
    ExchangeHandler.setCloseListener(channel, action);
  }
}
