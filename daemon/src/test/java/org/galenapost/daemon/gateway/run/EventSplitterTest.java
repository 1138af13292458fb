package org.galenapost.daemon.gateway.run;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
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

  private List<String> events() {
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
    return bytes.toString(StandardCharsets.US_ASCII);
  }
}
