package org.galenapost.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Callers that send requests without reading the responses. */
class RequestSequencerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel(new RequestSequencer());

  private FullHttpRequest request(int number) {
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + number, Unpooled.buffer(1));
  }

  private List<String> takePassedOn() {
    List<String> targets = new ArrayList<>();
    for (FullHttpRequest next = channel.readInbound(); next != null; ) {
      targets.add(next.uri());
      next.release();
      next = channel.readInbound();
    }
    return targets;
  }

  private void respond() {
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    channel.runPendingTasks();
  }

  @Test
  void passesOnNextRequestOnceResponseHasLeft() {
    channel.writeInbound(request(1), request(2), request(3));

    assertThat(takePassedOn()).containsExactly("/1");
    respond();
    assertThat(takePassedOn()).containsExactly("/2");
    respond();
    assertThat(takePassedOn()).containsExactly("/3");
    channel.finishAndReleaseAll();
  }

  @Test
  void interimResponseDoesNotEndRequest() {
    channel.writeInbound(request(1), request(2));
    channel.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    channel.runPendingTasks();

    assertThat(takePassedOn()).containsExactly("/1");
    channel.finishAndReleaseAll();
  }

  @Test
  void readsNothingMoreWhileManyRequestsWait() {
    for (int number = 0; number < 20; number++) {
      channel.writeInbound(request(number));
    }
    assertThat(channel.config().isAutoRead()).isFalse();

    for (int number = 0; number < 10; number++) {
      respond();
    }

    assertThat(channel.config().isAutoRead()).isTrue();
    assertThat(takePassedOn()).hasSize(11);
    channel.finishAndReleaseAll();
  }

  @Test
  void releasesWaitingRequestsWithTheConnection() {
    FullHttpRequest waiting = request(2);
    channel.writeInbound(request(1), waiting);

    channel.close();

    assertThat(waiting.refCnt()).isZero();
    channel.finishAndReleaseAll();
  }
}
