package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.daemon.net.BrokenConnectionGuard;
import org.galenapost.daemon.net.StrictClientCodec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bodies that other answers become a part of. */
class SwallowedAnswersTest {

  private static final RawResponse FIRST =
      new RawResponse(200, "call-1", "seal-1", "a".repeat(600), false, 0);
  private static final RawResponse SECOND =
      new RawResponse(500, "call-2", "seal-2", "b".repeat(60), false, 0);

  private final StrictClientCodec codec = new StrictClientCodec(new HttpDecoderConfig());
  private final ServerConnection connection =
      new ServerConnection(
          1,
          new InstanceKey("i-1", Instant.EPOCH.toEpochMilli()),
          new TestCallFormat(),
          codec,
          idle -> {},
          faultyServer -> {});
  private EmbeddedChannel channel;

  @BeforeEach
  void open() {
    channel = new EmbeddedChannel(codec, connection);
    BrokenConnectionGuard.addTo(channel);
    connection.attach(channel);
  }

  /** The call waited until its deadline for an answer that had arrived. */
  @Test
  void failsAtOnceIfCopyCutInItsBodySwallowsTheWholeAnswer() {
    exchange(HttpMethod.GET, "call-1", FIRST.text());

    RecordingResponseListener caller =
        exchange(HttpMethod.GET, "call-2", FIRST.text().substring(0, 250) + SECOND.text());

    assertThat(caller.isComplete() || caller.failure().isPresent()).isTrue();
  }

  @Test
  void doesNotCompleteCutAnswerWithItsOwnSecondCopy() {
    String text = FIRST.text();

    RecordingResponseListener caller =
        exchange(HttpMethod.GET, "call-1", text.substring(0, text.length() - 100) + text);

    assertOwnBodyOrFailure(caller, FIRST);
  }

  @Test
  void doesNotCompleteCutAnswerWithCopyOfAnotherOne() {
    exchange(HttpMethod.GET, "call-2", SECOND.text());
    String text = FIRST.text();

    RecordingResponseListener caller =
        exchange(HttpMethod.GET, "call-1", text.substring(0, text.length() - 100) + SECOND.text());

    assertOwnBodyOrFailure(caller, FIRST);
  }

  @Test
  void completesAnswerWhoseBodyHoldsStatusLineOnly() {
    RawResponse transcript =
        new RawResponse(200, "call-1", "seal-1", "got HTTP/1.1 503 Busy\r\nfrom afar", false, 0);

    RecordingResponseListener caller = exchange(HttpMethod.GET, "call-1", transcript.text());

    assertThat(caller.isComplete()).as("failure: %s", caller.failure()).isTrue();
    assertThat(caller.body()).isEqualTo(transcript.body());
  }

  /** The status line in the body of the answer before failed the send. */
  @Test
  void completesAnswerAfterInformationalOneWhenTheBodyBeforeHeldStatusLine() {
    String transcript = "got HTTP/1.1 503 Busy\r\nfrom afar";
    exchange(
        HttpMethod.GET,
        "call-1",
        new RawResponse(200, "call-1", "seal-1", transcript, false, 0).text());

    RecordingResponseListener caller =
        exchange(HttpMethod.GET, "call-2", "HTTP/1.1 103 Early Hints\r\n\r\n" + SECOND.text());

    assertThat(caller.isComplete()).as("failure: %s", caller.failure()).isTrue();
  }

  @Test
  void doesNotAppendLateCopyToAnswerThatEndsWithItsConnection() {
    exchange(HttpMethod.GET, "call-2", SECOND.text());

    RecordingResponseListener caller =
        exchange(
            HttpMethod.GET,
            "call-1",
            "HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nSeal: seal-1\r\n\r\n"
                + FIRST.body()
                + SECOND.text());
    channel.close();

    assertOwnBodyOrFailure(caller, FIRST);
  }

  private static void assertOwnBodyOrFailure(RecordingResponseListener caller, RawResponse answer) {
    if (caller.isComplete()) {
      assertThat(caller.body()).isEqualTo(answer.body());
    }
  }

  private RecordingResponseListener exchange(HttpMethod method, String callId, String received) {
    RecordingResponseListener caller = new RecordingResponseListener();
    connection.send(
        new OutgoingCall(callId, true),
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/read", Unpooled.EMPTY_BUFFER),
        caller);
    channel.writeInbound(Unpooled.copiedBuffer(received, StandardCharsets.ISO_8859_1));
    return caller;
  }
}
