package org.galenapost.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.galenapost.daemon.net.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpListenerTest {

  private static final int CONNECTIONS = 60;
  private static final int READ_TIMEOUT_MS = 2_000;

  private final EventLoops eventLoops = new EventLoops(1);
  private final HttpListener listener =
      new HttpListener(
          "test",
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          eventLoops.group(),
          1_024,
          pipeline -> pipeline.addLast(new Greeter()));

  @AfterEach
  void stop() {
    listener.stop();
    eventLoops.stop();
  }

  /** Greets each accepted connection. */
  private static final class Greeter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      context.writeAndFlush(context.alloc().buffer(1).writeByte('!'));
    }
  }

  @Test
  void servesConnectionsThatWaitedWhenItStopsAccepting() throws Exception {
    listener.start();
    int port = listener.port();
    CountDownLatch release = new CountDownLatch(1);
    eventLoops.group().next().execute(() -> await(release));
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      callers.add(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    Thread stopping = new Thread(listener::stopAccepting);
    stopping.start();
    Thread.sleep(Duration.ofMillis(200).toMillis());
    release.countDown();
    stopping.join();

    for (Socket caller : callers) {
      assertThat(greetingOf(caller)).isEqualTo('!');
      caller.close();
    }
  }

  private static int greetingOf(Socket caller) throws IOException {
    caller.setSoTimeout(READ_TIMEOUT_MS);
    return caller.getInputStream().read();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
