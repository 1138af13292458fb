package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Heads of several connections that need more room than there is. */
class HeadBudgetTest {

  private static final long LARGEST_HEAP_BYTES = 120L * 1024 * 1024;
  private static final int MAX_HEAD_BYTES = 16_384;

  private final List<String> evicted = new ArrayList<>();
  private final HeadBudget budget = new HeadBudget(10_000, () -> {});

  private HeadAccount account(String name) {
    return new HeadAccount(budget, () -> evicted.add(name));
  }

  /** Guards against a flood of unfinished heads that keeps out the heads of other callers. */
  @Test
  void longestIncompleteMessageGivesUpItsRoomFirst() {
    HeadAccount first = account("first");
    HeadAccount second = account("second");
    first.beginMessage();
    first.setUndecodedBytes(900);
    second.beginMessage();
    second.setUndecodedBytes(900);

    HeadAccount third = account("third");
    third.beginMessage();
    third.setUndecodedBytes(900);

    assertThat(evicted).containsExactly("first");
    assertThat(budget.evictedCount()).isEqualTo(1);
  }

  /** Guards against evictions in favour of the request that has taken longest to arrive. */
  @Test
  void longestIncompleteMessageTakesNoRoomFromOthers() {
    HeadAccount first = account("first");
    HeadAccount second = account("second");
    first.beginMessage();
    second.beginMessage();
    second.setUndecodedBytes(2_000);

    first.setUndecodedBytes(2_000);

    assertThat(evicted).containsExactly("first");
    assertThat(budget.refusedCount()).isEqualTo(1);
  }

  /** Guards against lines that stay in memory until the connection is closed, which takes time. */
  @Test
  void evictedMessageFreesItsLinesAtOnce() {
    HeadAccount first = account("first");
    EmbeddedChannel channel = channel(first);
    channel.writeInbound(bytes("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(20)));
    HeadAccount second = account("second");
    second.beginMessage();
    second.setUndecodedBytes(2_000);

    channel.writeInbound(bytes("b:\r\n\r\n"));

    HttpRequest request = channel.readInbound();
    assertThat(evicted).containsExactly("first");
    // The decoder itself keeps the last line until the next one comes.
    assertThat(request.headers().size()).isLessThanOrEqualTo(2);
    channel.finishAndReleaseAll();
  }

  /** Guards against complete requests that are not counted while their calls run. */
  @Test
  void completeMessageKeepsItsRoomUntilItsCallEnds() {
    HeadAccount first = account("first");
    first.beginMessage();
    first.completeMessage();
    first.beginMessage();
    first.completeMessage();

    assertThat(budget.heldBytes()).isEqualTo(2 * HeadAccount.MESSAGE_BYTES);
    first.endCall();
    assertThat(budget.heldBytes()).isEqualTo(HeadAccount.MESSAGE_BYTES);
    first.close();
    assertThat(budget.heldBytes()).isZero();
    assertThat(evicted).isEmpty();
  }

  /** Guards against room that stays taken by a request that is answered before its end. */
  @Test
  void messageAnsweredBeforeItsEndHoldsNothingAfterIt() {
    HeadAccount first = account("first");
    first.beginMessage();
    first.endCall();
    first.completeMessage();

    assertThat(budget.heldBytes()).isZero();
  }

  /** Guards against short lines that count by their bytes only, and against a head half kept. */
  @Test
  void refusesHeadWhoseLinesCostMoreThanThereIs() {
    EmbeddedChannel channel = channel(account("first"));

    channel.writeInbound(bytes("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(100)));

    HttpRequest refused = channel.readInbound();
    assertThat(refused.decoderResult().cause()).isInstanceOf(NoRoomForHeadException.class);
    assertThat(refused.headers().isEmpty()).isTrue();
    assertThat(budget.heldBytes()).isZero();
    channel.finishAndReleaseAll();
  }

  /** Guards against a default that refuses what callers inside the limits send. */
  @Test
  void defaultAdmitsLargestHeadAndOrdinaryHeadsOfAllConnections() {
    HeadBudget ofSmallHeap = HeadBudget.ofHeap(0, () -> {});
    EmbeddedChannel channel = channel(new HeadAccount(ofSmallHeap, () -> evicted.add("largest")));
    channel.writeInbound(bytes("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(4_000) + "\r\n"));
    HttpRequest request = channel.readInbound();
    assertThat(request.decoderResult().isSuccess()).isTrue();
    assertThat(request.headers().size()).isEqualTo(4_000);
    channel.finishAndReleaseAll();

    HeadBudget ofDeployment = HeadBudget.ofHeap(LARGEST_HEAP_BYTES, () -> {});
    long ordinaryBytes =
        HeadAccount.MESSAGE_BYTES + 20 * HeadAccount.LINE_BYTES + 600 * HeadAccount.COPIES_OF_BYTE;
    assertThat(2_500 * ordinaryBytes).isLessThan(ofDeployment.maxBytes());
    assertThat(evicted).isEmpty();
  }

  /** Guards against large heads whose calls wait, so that ordinary callers find no room. */
  @Test
  void largeHeadsLeaveRoomForOrdinaryOnes() {
    HeadBudget room = new HeadBudget(400_000, () -> {});
    long admittedLarge = admitted(room, 20, 150);
    long admittedOrdinary = admitted(room, 10, 20);

    assertThat(admittedLarge).isBetween(5L, 19L);
    assertThat(admittedOrdinary).isEqualTo(10);
  }

  /** Reads complete requests and returns how many found room. */
  private static long admitted(HeadBudget room, int requests, int lines) {
    return IntStream.range(0, requests)
        .filter(
            i -> {
              HeadAccount account = new HeadAccount(room, () -> {});
              EmbeddedChannel channel = channel(account);
              channel.writeInbound(bytes("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(lines) + "\r\n"));
              account.completeMessage();
              HttpRequest request = channel.readInbound();
              return request.decoderResult().isSuccess();
            })
        .count();
  }

  /** Guards against lines of chunk sizes that are long and never end. */
  @Test
  void countsUnfinishedLineInsideBodyUntilItIsDecoded() {
    HeadAccount first = account("first");
    first.setUndecodedBodyBytes(1_000);

    assertThat(budget.heldBytes())
        .isEqualTo(HeadAccount.MESSAGE_BYTES + 1_000 * HeadAccount.COPIES_OF_BYTE);
    first.setUndecodedBodyBytes(0);
    assertThat(budget.heldBytes()).isZero();
  }

  /** Guards against a sound stream that counts as incomplete while it goes on. */
  @Test
  void bodyWithoutUndecodedBytesIsNotEvicted() {
    HeadAccount stream = account("stream");
    stream.setUndecodedBodyBytes(10);
    stream.setUndecodedBodyBytes(0);
    HeadAccount first = account("first");
    first.beginMessage();
    first.setUndecodedBytes(2_000);
    HeadAccount second = account("second");
    second.beginMessage();
    second.setUndecodedBytes(2_000);

    assertThat(evicted).containsExactly("first");
  }

  private static EmbeddedChannel channel(HeadAccount account) {
    account.beginMessage();
    return new EmbeddedChannel(
        new HttpRequestDecoder(
            account.addTo(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES))));
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
