package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HeadBudget;
import org.galenapost.daemon.net.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServerConnectionPoolTest {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration ARRIVAL_TIME = Duration.ofMillis(100);

  private final EventLoops loops = new EventLoops(1);
  private final EventLoop loop = loops.group().next();
  private volatile Duration passed = Duration.ZERO;
  private final ServerConnectionPool pool =
      new ServerConnectionPool(
          loop,
          new TestCallFormat(),
          () -> System.nanoTime() + passed.toNanos(),
          CONNECT_TIMEOUT,
          ServerAddresses.announced(),
          HeadBudget.unbounded());
  private StutteringServer server;

  @BeforeEach
  void start() throws IOException {
    server = new StutteringServer("", "");
  }

  @AfterEach
  void stop() throws IOException {
    pool.stop();
    server.close();
    loops.stop();
  }

  @Test
  void keepsConnectionOfSoundServer() {
    answerTo("call-1");
    answerTo("call-2");

    assertThat(server.connectionCount()).isEqualTo(1);
  }

  /** The bytes had arrived before the send, but were read after it, and the call was lost. */
  @Test
  void sendsNothingOnConnectionWhoseUnrequestedBytesAreNotReadYet() {
    answerTo("call-1");
    RecordingResponseListener listener = new RecordingResponseListener();

    loop.execute(
        () -> {
          receiveUnrequested("noise");
          send("call-2", listener);
        });

    await().until(() -> listener.isComplete() || listener.failure().isPresent());
    assertThat(listener.failure()).isEmpty();
    assertThat(server.connectionCount()).isEqualTo(2);
  }

  /** A late copy that arrives after the next send on the connection ends that call. */
  @Test
  void keepsNoConnectionOfServerThatSentUnrequestedBytesLately() throws IOException {
    answerTo("call-1");
    server.writeUnrequested("noise");
    await().pollDelay(ARRIVAL_TIME).until(() -> true);

    answerTo("call-2");
    answerTo("call-3");
    assertThat(server.connectionCount()).isEqualTo(3);

    passed = StutteringServers.MEMORY.plusSeconds(1);
    answerTo("call-4");
    answerTo("call-5");
    assertThat(server.connectionCount()).isEqualTo(4);
  }

  /**
   * A call that a handler of the network starts was sent in the same pass, without another read.
   */
  @Test
  void sendsNothingOnConnectionWithUnreadBytesWhenAnotherAnswerStartsTheSend() {
    answerTo("call-1");
    RecordingResponseListener listener = new RecordingResponseListener();

    loop.execute(
        () ->
            send(
                "call-2",
                new RecordingResponseListener() {
                  @Override
                  public void onComplete() {
                    receiveUnrequested("noise");
                    send("call-3", listener);
                  }
                }));

    await().until(() -> listener.isComplete() || listener.failure().isPresent());
    assertThat(listener.failure()).isEmpty();
    assertThat(server.connectionCount()).isEqualTo(2);
  }

  /** A late copy before or after an answer without a body was read with the wrong length. */
  @Test
  void sendsHeadOnConnectionOfItsOwn() {
    answerTo("call-1");

    answerTo(HttpMethod.HEAD, "call-2");
    answerTo("call-3");

    assertThat(server.connectionCount()).isEqualTo(2);
    answerTo(HttpMethod.HEAD, "call-4");
    assertThat(server.connectionCount()).isEqualTo(3);
  }

  @Test
  void leavesIdleConnectionToTheNextCallIfTheSendIsCancelled() {
    answerTo("call-1");
    RecordingResponseListener listener = new RecordingResponseListener();

    loop.submit(() -> send("call-2", listener).cancel()).syncUninterruptibly();
    answerTo("call-3");

    assertThat(listener.head()).isEmpty();
    assertThat(listener.failure()).isEmpty();
    assertThat(server.connectionCount()).isEqualTo(1);
  }

  /** Blocks the event loop until the bytes have arrived. */
  private void receiveUnrequested(String text) {
    try {
      server.writeUnrequested(text);
      Thread.sleep(ARRIVAL_TIME.toMillis());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against callers that wait while a server sends thousands of small chunks. */
  @Test
  void readsLittleOfOneConnectionInEachPass() throws IOException {
    server.close();
    server =
        StutteringServer.fromFirstAnswerOn(
            "HTTP/1.1 200 OK\r\nCall-Id: call-1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "4\r\ntok \r\n".repeat(100_000)
                + "0\r\n\r\n");
    PassRecorder listener = new PassRecorder();

    loop.execute(() -> send("call-1", listener));

    await().until(() -> listener.body().length() == 400_000);
    assertThat(listener.maxBytesOfPass).isLessThan(16 * 1024);
  }

  /** Keeps how many bytes came in one pass of the event loop. */
  private static final class PassRecorder extends RecordingResponseListener {

    private int bytesOfPass;
    private volatile int maxBytesOfPass;

    @Override
    public void onBody(ByteBuf part) {
      super.onBody(part);
      bytesOfPass += part.readableBytes();
    }

    @Override
    public void onReadComplete() {
      maxBytesOfPass = Math.max(maxBytesOfPass, bytesOfPass);
      bytesOfPass = 0;
    }
  }

  private void answerTo(String callId) {
    answerTo(HttpMethod.GET, callId);
  }

  private void answerTo(HttpMethod method, String callId) {
    RecordingResponseListener listener = new RecordingResponseListener();
    loop.execute(() -> send(method, callId, listener));
    await().until(listener::isComplete);
  }

  private ServerCall send(String callId, ResponseListener listener) {
    return send(HttpMethod.GET, callId, listener);
  }

  private ServerCall send(HttpMethod method, String callId, ResponseListener listener) {
    ServerInstance instance =
        new ServerInstance("i-1", 1, 0, "app", "127.0.0.1", server.port(), "z1", 6, false, "v1");
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/read", Unpooled.EMPTY_BUFFER);
    request.headers().set(TestCallFormat.CALL_ID, callId);
    return pool.send(instance, new OutgoingCall(callId, true), request, listener);
  }
}
