package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.daemon.net.StrictClientCodec;
import org.junit.jupiter.api.Test;

class ServerConnectionTest {

  private static final String CALL_ID = "call-1";
  private static final int CHUNKS = 20_000;

  private final TestCallFormat format = new TestCallFormat();
  private final StrictClientCodec codec = new StrictClientCodec(new HttpDecoderConfig());
  private final ServerConnection connection =
      new ServerConnection(
          1, new InstanceKey("s1", 1), format, codec, idle -> {}, stuttering -> {});
  private final EmbeddedChannel channel = new EmbeddedChannel(codec, connection);

  /**
   * Guards against a gateway that hangs while a server sends a status line and small chunks after
   * it, as each chunk had 4 KB of text searched once more.
   */
  @Test
  void searchesTextAfterStatusLineNoMoreOnceItsHeadIsComplete() {
    // GIVEN a call
    RecordingResponseListener listener = new RecordingResponseListener();
    connection.attach(channel);
    connection.send(
        new OutgoingCall(CALL_ID, true),
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        listener);

    // WHEN its answer holds a status line and very many chunks
    receive(
        "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            .formatted(CALL_ID));
    receive("11\r\nHTTP/1.1 200 OK\r\n\r\n");
    receive("4\r\ntok \r\n".repeat(CHUNKS));

    // THEN the text is searched while it may belong to a head
    assertThat(listener.failure()).isEmpty();
    assertThat(format.searchedHeads()).isBetween(2, CHUNKS / 10);
  }

  private void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }
}
