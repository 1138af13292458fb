package org.galenapost.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.galenapost.daemon.net.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers that take longer to read a response than a connection may be idle. */
class SlowCallerGuardTest {

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(400);
  private static final Duration SLOW_READER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration READ_PAUSE = Duration.ofMillis(20);
  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int READ_BYTES = 200_000;

  /** More than the buffers of both sockets hold. */
  private static final int BODY_BYTES = 16_000_000;

  private static final ListenerOptions OPTIONS =
      new ListenerOptions(10, 8_192, 1_024, IDLE_TIMEOUT, IDLE_TIMEOUT, SLOW_READER_TIMEOUT);

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpListener listener =
      new HttpListener(
          "test",
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          eventLoops.group(),
          1_024,
          pipeline -> {
            new HttpPipeline(OPTIONS, () -> {}).setUp(pipeline);
            pipeline.addLast(new LongAnswers());
          });

  /** Answers each request with a long body. */
  private static final class LongAnswers extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.OK,
              Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
      HttpUtil.setContentLength(response, BODY_BYTES);
      context.writeAndFlush(response);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      context.close();
    }
  }

  @BeforeEach
  void start() {
    listener.start();
  }

  @AfterEach
  void stop() {
    listener.stop();
    eventLoops.stop();
  }

  @Test
  void doesNotCutCallerThatReadsSlowlyButSteadily() throws IOException {
    try (Socket caller = request()) {
      long receivedBytes = 0;
      byte[] part = caller.getInputStream().readNBytes(READ_BYTES);
      while (part.length > 0) {
        receivedBytes += part.length;
        Awaitility.await().pollDelay(READ_PAUSE).until(() -> true);
        boolean isWhole = receivedBytes > BODY_BYTES;
        part = isWhole ? new byte[0] : caller.getInputStream().readNBytes(READ_BYTES);
      }

      assertThat(receivedBytes).isGreaterThan(BODY_BYTES);
    }
  }

  @Test
  void cutsCallerThatTakesNothing() throws IOException {
    try (Socket caller = request()) {
      Awaitility.await()
          .atMost(SLOW_READER_TIMEOUT.dividedBy(2))
          .until(() -> listener.connectionCount() == 0);
      InputStream answer = caller.getInputStream();

      assertThat(answer.readNBytes(BODY_BYTES).length).isLessThan(BODY_BYTES);
    }
  }

  @Test
  void closesConnectionThatIsIdleAfterItsResponseHasLeft() throws IOException {
    try (Socket caller = request()) {
      InputStream answer = caller.getInputStream();
      answer.readNBytes(BODY_BYTES);

      Awaitility.await().atMost(SLOW_READER_TIMEOUT).until(() -> listener.connectionCount() == 0);
    }
  }

  private Socket request() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
    caller
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    return caller;
  }
}
