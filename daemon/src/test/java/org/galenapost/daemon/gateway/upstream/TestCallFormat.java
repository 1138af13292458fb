package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenapost.core.dispatch.RateStatement;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.call.CallHead;
import org.galenapost.daemon.gateway.call.ResponseHead;
import org.galenapost.daemon.gateway.call.SendOptions;

/** Reads the heads of responses that name their call and carry a seal. */
final class TestCallFormat implements CallFormat {

  static final String CALL_ID = "Call-Id";
  static final String SEAL = "Seal";

  private int searchedHeads;

  /** Returns how often a text has been searched for the id of a call. */
  int searchedHeads() {
    return searchedHeads;
  }

  @Override
  public ResponseHead readResponseHead(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new ResponseHead(
        response.status().code(),
        headers,
        Optional.ofNullable(headers.get(CALL_ID)),
        headers.contains(SEAL),
        false,
        false,
        false,
        Optional.empty(),
        RateStatement.unlimited(),
        RateStatement.unlimited(),
        false,
        headers.getAll(CALL_ID).size() > 1 || headers.getAll(SEAL).size() > 1
            ? Optional.of("several ids or seals")
            : Optional.empty());
  }

  @Override
  public boolean namesCall(String headText) {
    searchedHeads++;
    return headText.contains("\r\n" + CALL_ID + ":");
  }

  @Override
  public Either<String, CallHead> readCallHead(HttpRequest request) {
    throw new AssertionError("no caller in these tests");
  }

  @Override
  public FullHttpRequest writeRequest(CallHead call, ByteBuf body, SendOptions send) {
    throw new AssertionError("no caller in these tests");
  }

  @Override
  public FullHttpRequest writeHandover(
      CallHead call,
      ByteBuf body,
      long remainingMs,
      OptionalLong resumeAfter,
      Optional<String> resumedStreamId) {
    throw new AssertionError("no caller in these tests");
  }

  @Override
  public void writeCallId(String callId, HttpHeaders headers) {
    throw new AssertionError("no caller in these tests");
  }
}
