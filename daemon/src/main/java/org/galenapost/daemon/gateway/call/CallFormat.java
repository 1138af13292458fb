package org.galenapost.daemon.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

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

  /** Reads the head of a server's response. */
  ResponseHead readResponseHead(HttpResponse response);
}
