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

/** One request and its response. */
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
  private final Map<String, String> commonHeaders = new TreeMap<>();
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

  /** Returns the HTTP method of the request. */
  public HttpMethod method() {
    return method;
  }

  /** Returns the path, percent-decoded. */
  public String path() {
    return path;
  }

  /** Returns the path as received, percent-encoded. */
  public String rawPath() {
    return rawPath;
  }

  /** Returns a path parameter by its name in the route's template, or null if there is none. */
  public String pathParameter(String name) {
    return pathParameters.get(name);
  }

  void setPathParameters(Map<String, String> parameters) {
    pathParameters = Map.copyOf(parameters);
  }

  /** Returns the first query parameter with the given name. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(query.get(name)).map(values -> values.get(0));
  }

  /**
   * Returns a query parameter as an integer.
   *
   * @param defaultValue the value if the parameter is absent
   * @throws HttpError with status 400 if the parameter is not an integer
   */
  public long queryLong(String name, long defaultValue) {
    try {
      return query(name).map(Long::parseLong).orElse(defaultValue);
    } catch (NumberFormatException e) {
      throw HttpError.badRequest("expected a whole number in " + name);
    }
  }

  /** Returns the first header with the given name. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the id of the connection, which other requests may share. */
  public String connectionId() {
    return channel.id().asLongText();
  }

  /** Returns the body as text. */
  public String body() {
    return body;
  }

  /**
   * Parses the body as JSON; a blank body is read as an empty object.
   *
   * @throws HttpError with status 400 if the body is not valid JSON of the type
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

  /** Sets a header of whatever response follows. */
  public void setResponseHeader(String name, String value) {
    commonHeaders.put(name, value);
  }

  /** Responds with status 200 and a JSON document. */
  public void replyOk(Object document) {
    reply(OK, document);
  }

  /** Responds with a JSON document. */
  public void reply(int status, Object document) {
    reply(status, "application/json", Json.write(document));
  }

  /** Responds with an {@link ErrorBody}. */
  public void replyError(int status, String message) {
    reply(status, new ErrorBody(message));
  }

  /** Responds with text of the given media type. */
  public void reply(int status, String mediaType, String text) {
    reply(status, Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), mediaType), text);
  }

  /** Responds with text and the given headers. */
  public void reply(int status, Map<String, String> responseHeaders, String text) {
    ByteBuf content = ByteBufUtil.writeUtf8(channel.alloc(), text);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    commonHeaders.forEach(response.headers()::set);
    responseHeaders.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    ExchangeHandler.clearListeners(channel);
    if (isKeepAlive) {
      channel.writeAndFlush(response);
      return;
    }
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Starts a response of server-sent events. */
  public EventStream openEventStream() {
    return openEventStream(Map.of());
  }

  /** Starts a response of server-sent events with additional headers. */
  public EventStream openEventStream(Map<String, String> responseHeaders) {
    Map<String, String> allHeaders = new TreeMap<>(commonHeaders);
    allHeaders.putAll(responseHeaders);
    return EventStream.open(channel, isKeepAlive, allHeaders);
  }

  /** Sends text unchanged if the connection is open; it need not be a valid response. */
  public void replyRaw(String text) {
    if (!channel.isActive()) {
      return;
    }
    channel.pipeline().firstContext().writeAndFlush(ByteBufUtil.writeUtf8(channel.alloc(), text));
  }

  /**
   * Sends text unchanged and then a filler again and again, until the connection closes.
   *
   * @param text the text, which need not be a valid response
   * @param filler the text that follows it without end
   */
  public void replyEndlessly(String text, String filler) {
    channel
        .pipeline()
        .firstContext()
        .writeAndFlush(ByteBufUtil.writeUtf8(channel.alloc(), text))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                replyEndlessly(filler, filler);
              }
            });
  }

  /** Returns the path with the query string, as received. */
  public String target() {
    return target;
  }

  /** Resets the connection without a response. */
  public void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Returns all headers of the request, with case-insensitive names. */
  public Map<String, String> headers() {
    Map<String, String> all = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    headers.forEach(entry -> all.put(entry.getKey(), entry.getValue()));
    return all;
  }

  /** Closes the connection without a response. */
  public void closeWithoutResponse() {
    channel.close();
  }

  /** Sets an action that runs if the connection closes before the response. */
  public void onClose(Runnable action) {
    ExchangeHandler.setCloseListener(channel, action);
  }
}
