package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.daemon.net.BrokenConnectionGuard;
import org.galenapost.daemon.net.StrictClientCodec;

/**
 * A server sends a second copy of an answer, cut at any byte, beside its answer to the next call.
 */
class MixedAnswersProperties {

  private static final String FIRST_CALL = "call-1";
  private static final String SECOND_CALL = "call-2";

  /**
   * The tail of a header's value, or of a reason phrase, was the status line of the next answer.
   */
  @Property(tries = 3_000)
  void givesCallerTheAnswerToItsCallOrNoneAfterPartOfCopyWhileIdle(
      @ForAll("firstAnswers") RawResponse first,
      @ForAll("secondAnswers") RawResponse second,
      @ForAll @IntRange(max = 400) int cut,
      @ForAll long reads) {
    Connection connection = new Connection(reads);
    connection.exchange(FIRST_CALL, first.text());

    connection.receive(upTo(cut, first.text()));
    RecordingResponseListener caller = connection.exchange(SECOND_CALL, second.text());

    assertAnsweredOrNot(caller, second);
  }

  @Property(tries = 3_000)
  void givesCallerTheAnswerToItsCallOrNoneAfterPartOfCopySinceTheSend(
      @ForAll("firstAnswers") RawResponse first,
      @ForAll("secondAnswers") RawResponse second,
      @ForAll @IntRange(max = 400) int cut,
      @ForAll long reads) {
    Connection connection = new Connection(reads);
    connection.exchange(FIRST_CALL, first.text());

    RecordingResponseListener caller =
        connection.exchange(SECOND_CALL, upTo(cut, first.text()) + second.text());

    assertAnsweredOrNot(caller, second);
  }

  @Property(tries = 3_000)
  void givesCallerTheAnswerToItsCallOrNoneBetweenTwoPartsOfCopy(
      @ForAll("firstAnswers") RawResponse first,
      @ForAll("secondAnswers") RawResponse second,
      @ForAll @IntRange(max = 400) int cut,
      @ForAll long reads) {
    Connection connection = new Connection(reads);
    connection.exchange(FIRST_CALL, first.text());
    String copy = first.text();

    RecordingResponseListener caller =
        connection.exchange(
            SECOND_CALL,
            upTo(cut, copy) + second.text() + copy.substring(upTo(cut, copy).length()));

    assertAnsweredOrNot(caller, second);
  }

  @Property(tries = 1_000)
  void givesCallerItsAnswerAfterWholeCopies(
      @ForAll("firstAnswers") RawResponse first,
      @ForAll("secondAnswers") RawResponse second,
      @ForAll @IntRange(max = 3) int copies,
      @ForAll long reads) {
    Connection connection = new Connection(reads);
    connection.exchange(FIRST_CALL, first.text());

    RecordingResponseListener caller =
        connection.exchange(SECOND_CALL, first.text().repeat(copies) + second.text());

    assertThat(caller.isComplete()).as("failure: %s", caller.failure()).isTrue();
    assertAnsweredOrNot(caller, second);
  }

  @Provide
  Arbitrary<RawResponse> firstAnswers() {
    return answers(FIRST_CALL, "seal-1");
  }

  @Provide
  Arbitrary<RawResponse> secondAnswers() {
    return answers(SECOND_CALL, "seal-2");
  }

  private static Arbitrary<RawResponse> answers(String callId, String seal) {
    return Combinators.combine(
            Arbitraries.of(200, 201, 500, 503),
            Arbitraries.strings().ascii().ofMaxLength(60),
            Arbitraries.of(true, false),
            Arbitraries.longs())
        .as(
            (status, body, isChunked, order) ->
                new RawResponse(status, callId, seal, body, isChunked, order));
  }

  private static String upTo(int cut, String text) {
    return text.substring(0, Math.min(cut, text.length()));
  }

  private static void assertAnsweredOrNot(RecordingResponseListener caller, RawResponse answer) {
    if (caller.isComplete()) {
      assertThat(caller.head().orElseThrow().status()).isEqualTo(answer.status());
      assertThat(caller.head().orElseThrow().headers().getAll(TestCallFormat.SEAL))
          .containsExactly(answer.seal());
      assertThat(caller.body()).isEqualTo(answer.body());
    } else {
      assertThat(caller.failure()).isPresent();
    }
  }

  /** A connection to a server; a new one takes its place once it is closed, as in a pool. */
  private static final class Connection {

    private final Random reads;
    private EmbeddedChannel channel;
    private ServerConnection connection;
    private long number;

    Connection(long seed) {
      reads = new Random(seed);
      open();
    }

    private void open() {
      StrictClientCodec codec = new StrictClientCodec(new HttpDecoderConfig());
      connection =
          new ServerConnection(
              ++number,
              new InstanceKey("i-1", Instant.EPOCH.toEpochMilli()),
              new TestCallFormat(),
              codec,
              idle -> {},
              faultyServer -> {});
      channel = new EmbeddedChannel(codec, connection);
      BrokenConnectionGuard.addTo(channel);
      connection.attach(channel);
    }

    /** Sends a call, receives bytes and then the end of the connection, if the call still waits. */
    RecordingResponseListener exchange(String callId, String received) {
      if (!connection.isOpen()) {
        open();
      }
      RecordingResponseListener caller = new RecordingResponseListener();
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, "/read", Unpooled.EMPTY_BUFFER);
      connection.send(new OutgoingCall(callId, true), request, caller);
      channel.releaseOutbound();
      receive(received);
      if (!caller.isComplete() && caller.failure().isEmpty()) {
        channel.close();
      }
      return caller;
    }

    /** Receives bytes in reads of random length. */
    void receive(String text) {
      int from = 0;
      while (from < text.length() && channel.isActive()) {
        int to = Math.min(text.length(), from + 1 + reads.nextInt(text.length()));
        channel.writeInbound(
            Unpooled.copiedBuffer(text.substring(from, to), StandardCharsets.ISO_8859_1));
        from = to;
      }
    }
  }
}
