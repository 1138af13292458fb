package org.galenapost.daemon.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

/** Spells calls and answers on the wire. */
public interface CallFormat {

  /** Reads the head of a caller's request, or says in one line what is wrong with it. */
  Either<String, CallHead> readCallHead(HttpRequest request);

  /**
   * Returns the request that passes a call on to a server.
   *
   * @param call the call
   * @param body the caller's body
   * @param send what the gateway says to this server
   */
  FullHttpRequest writeRequest(CallHead call, ByteBuf body, SendOptions send);

  /** Reads the head of a server's answer. */
  ResponseHead readResponseHead(HttpResponse response);
}
