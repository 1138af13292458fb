package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StrictClientCodecTest {

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new StrictClientCodec(new HttpDecoderConfig()));

  /** The status of the first of two heads was taken for that of the second. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\nServer: s",
        "HTTP/1.1 200 OK\r\nServer:",
        "HTTP/1.1 200 OK\r\nServer: s\r\n",
        "HTTP/1.",
        "noise "
      })
  void decodesHeadMadeOfTwoAsFailure(String part) {
    assertThat(firstResponse(part + "HTTP/1.1 500 Failure\r\n\r\n").decoderResult().isFailure())
        .isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"http/1.1 500 Failure", "HTTP/1.1  500 Failure", "HTTP/1.1\t500 Failure"})
  void findsStatusLineThatIsWrittenInAnotherWay(String statusLine) {
    String head = "HTTP/1.1 200 OK\r\nServer: s" + statusLine + "\r\n\r\n";

    assertThat(firstResponse(head).decoderResult().isFailure()).isTrue();
  }

  @Test
  void decodesResponseWithLengthAndChunksAsFailure() {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";

    assertThat(firstResponse(head).decoderResult().isFailure()).isTrue();
  }

  /** The decoder passed on nothing after a change of protocol that no request had asked for. */
  @ParameterizedTest
  @ValueSource(strings = {"other", "websocket"})
  void decodesResponseAfterChangeOfProtocolThatNobodyAskedFor(String protocol) {
    String head = "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: " + protocol;

    firstResponse(head + "\r\n\r\n" + OK);

    assertThat(channel.inboundMessages())
        .filteredOn(HttpResponse.class::isInstance)
        .extracting(response -> ((HttpResponse) response).status().code())
        .containsExactly(200);
  }

  /** Guards against lines that state the sizes of chunks and never end. */
  @Test
  void countsUnfinishedChunkLineAgainstTheRoomOfHeads() {
    HeadBudget budget = new HeadBudget(1_000_000, () -> {});
    EmbeddedChannel counted =
        new EmbeddedChannel(
            new StrictClientCodec(
                new HttpDecoderConfig().setMaxInitialLineLength(65_536),
                new HeadAccount(budget, () -> {})));
    counted.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    counted.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII));
    long headBytes = budget.heldBytes();

    String line = "1;" + "e".repeat(60_000);
    counted.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));

    assertThat(budget.heldBytes() - headBytes).isGreaterThan(60_000);
    counted.finishAndReleaseAll();
  }

  @Test
  void closesConnectionThatReceivesBytesBeforeTheFirstRequest() {
    receive("H");

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void keepsConnectionWhoseResponsesAnswerRequests() {
    firstResponse("HTTP/1.1 100 Continue\r\n\r\n" + OK);
    firstResponse(OK);

    assertThat(channel.isOpen()).isTrue();
  }

  private HttpResponse firstResponse(String received) {
    channel.releaseInbound();
    channel.writeOutbound(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, "/read", Unpooled.EMPTY_BUFFER));
    receive(received);
    return channel.readInbound();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }
}
