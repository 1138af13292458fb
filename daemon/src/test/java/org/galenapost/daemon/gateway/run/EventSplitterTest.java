package org.galenapost.daemon.gateway.run;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  @Test
  void splitsEventsThatArriveInParts() {
    splitter.add(bytes("id: 1\ndata: a\n"));
    assertThat(events()).isEmpty();

    splitter.add(bytes("\nid: 2\r\ndata: b\r\n\r\nid"));

    assertThat(events()).containsExactly("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n");
    assertThat(splitter.hasPartialEvent()).isTrue();
  }

  /** The blank line in front of the size of a chunk ended an event of its own. */
  @Test
  void countsBlankLinesToTheNextEvent() {
    splitter.add(bytes("id: 1\n\n\r\n\nid: 2\n\n"));

    assertThat(events()).containsExactly("id: 1\n\n", "\r\n\nid: 2\n\n");
  }

  @Test
  void keepsBlankLinesThatFollowTheLastEvent() {
    splitter.add(bytes("id: 1\n\n\n\r\n"));

    assertThat(events()).containsExactly("id: 1\n\n");
    assertThat(splitter.hasPartialEvent()).isFalse();
    assertThat(text(splitter.trailingBlankLines())).isEqualTo("\n\r\n");
    assertThat(splitter.trailingBlankLines()).isNull();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n",
        "\r\n\n: comment\r\r\n\n\r\n\r\ndata: \r\n\rx\n\r\n",
        "\n\n\r\n"
      })
  void splitsTheSameEventsWhereverAStreamIsCut(String stream) {
    splitter.add(bytes(stream));
    List<String> whole = events();
    String rest = trailingBlankLines(splitter);

    for (int partBytes = 1; partBytes < stream.length(); partBytes++) {
      EventSplitter cut = new EventSplitter();
      List<String> events = new ArrayList<>();
      for (int start = 0; start < stream.length(); start += partBytes) {
        cut.add(bytes(stream.substring(start, Math.min(stream.length(), start + partBytes))));
        events.addAll(events(cut));
      }

      assertThat(events).as("parts of %d bytes", partBytes).isEqualTo(whole);
      assertThat(trailingBlankLines(cut)).isEqualTo(rest);
    }
  }

  /**
   * Guards against a gateway that hangs while a server sends one event without end in small chunks,
   * of which each was searched from the start of the event on.
   */
  @ParameterizedTest
  @ValueSource(strings = {"a", "a\n", "a\r\n", "\n", "\r"})
  @Timeout(value = 60, unit = TimeUnit.SECONDS, threadMode = ThreadMode.SEPARATE_THREAD)
  void searchesEachByteOfAnEventOnceHoweverSmallItsParts(String repeated) {
    ByteBuf part = Unpooled.buffer(1);

    for (int sent = 0; sent < EventSplitter.MAX_EVENT_BYTES; sent++) {
      part.clear().writeByte(repeated.charAt(sent % repeated.length()));
      assertThat(splitter.add(part)).isTrue();
      assertThat(splitter.next()).isNull();
    }

    assertThat(splitter.pendingBytes()).isEqualTo(EventSplitter.MAX_EVENT_BYTES);
    assertThat(splitter.add(part)).as("room for more").isFalse();
  }

  /** Guards against streams that hold the memory of a long event until they end. */
  @Test
  void givesBackTheMemoryOfLongEvents() {
    splitter.add(bytes("data: " + "a".repeat(500_000) + "\n\ndata: b"));
    assertThat(events()).hasSize(1);

    splitter.add(bytes("\n"));

    assertThat(splitter.capacityBytes()).isLessThan(1_000);
    splitter.add(bytes("\ndata: c\n\n"));
    assertThat(events()).containsExactly("data: b\n\n", "data: c\n\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"\r\n1c\r\nid: 2\n\n", "id: 2\ndata: a\r\n1c\r\nb\n\n", "1\n\n"})
  void findsLinesWithoutField(String event) {
    assertThat(EventSplitter.hasOnlyFields(bytes(event))).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"id: 2\ndata: a\n\n", "\r\n: comment\r\ndata:\r\n\r\n", "version: 7\nid: 2\n\n"})
  void takesFieldsAndComments(String event) {
    assertThat(EventSplitter.hasOnlyFields(bytes(event))).isTrue();
  }

  private static String trailingBlankLines(EventSplitter splitter) {
    ByteBuf lines = splitter.trailingBlankLines();
    return lines == null ? "" : text(lines);
  }

  private List<String> events() {
    return events(splitter);
  }

  private static List<String> events(EventSplitter splitter) {
    List<String> events = new ArrayList<>();
    for (ByteBuf event = splitter.next(); event != null; event = splitter.next()) {
      events.add(text(event));
    }
    return events;
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String text(ByteBuf bytes) {
    String text = bytes.toString(StandardCharsets.US_ASCII);
    bytes.release();
    return text;
  }
}
