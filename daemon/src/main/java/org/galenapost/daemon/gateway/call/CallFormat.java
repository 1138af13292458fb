package org.galenapost.daemon.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;

/** Translates calls and responses between a platform's wire format and the gateway's types. */
public interface CallFormat {

  /**
   * Reads the head of a caller's request.
   *
   * @return the head, or a description of the fault in one line
   */
  Either<String, CallHead> readCallHead(HttpRequest request);

  /**
   * Returns the request that sends a call to a server.
   *
   * @param call the head of the call
   * @param body the caller's body
   * @param send the options for this server
   */
  FullHttpRequest writeRequest(CallHead call, ByteBuf body, SendOptions send);

  /**
   * Returns the request that hands a call over to another daemon, with all that the caller sent.
   *
   * @param call the head of the call
   * @param body the caller's body
   * @param remainingMs the time left until the deadline of the call, in milliseconds
   * @param resumeAfter the number of the last event that the caller received
   * @param resumedStreamId the id of the stream of which the caller has received events
   */
  FullHttpRequest writeHandover(
      CallHead call,
      ByteBuf body,
      long remainingMs,
      OptionalLong resumeAfter,
      Optional<String> resumedStreamId);

  /** Names a call in the headers of a response. */
  void writeCallId(String callId, HttpHeaders headers);

  /** Returns whether the text of a head of a response, perhaps a part of it, names a call. */
  boolean namesCall(String headText);

  /** Reads the head of a server's response. */
  ResponseHead readResponseHead(HttpResponse response);
}
