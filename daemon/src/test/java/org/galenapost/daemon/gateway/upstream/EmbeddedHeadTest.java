package org.galenapost.daemon.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EmbeddedHeadTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nServer: s\r\n";

  /** A head that begins in one part and goes on in the next ones was passed over. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 7, 11, 100})
  void findsHeadAcrossParts(int partBytes) {
    String body = "some HTTP/1.1 text, HTTP/1.0\r\n and HTT" + HEAD + "rest";

    EmbeddedHead head = read(body, partBytes);

    assertThat(head.isFound()).isTrue();
    assertThat(head.text()).startsWith(HEAD);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.",
        "HTTP/1.1 200 OK",
        "HTTP/2 200\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n"
      })
  void findsNoHeadInOtherText(String body) {
    assertThat(read(body, 4).isFound()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void findsStatusLineWhoseReasonBeginsLikeOne(int partBytes) {
    assertThat(read("HTTP/1.1 200 HTTP/1.1 \r\n", partBytes).isFound()).isTrue();
  }

  /** The search ended with the first start that had no line end within 4 KB. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100, 8_192, 20_000})
  void findsHeadLongAfterTextThatBeginsLikeOne(int partBytes) {
    String padding = "x".repeat(9_000);

    EmbeddedHead head =
        read("HTTP/1.1 200" + padding + "GET / HTTP/1.1\r\n" + padding + HEAD, partBytes);

    assertThat(head.isFound()).isTrue();
    assertThat(head.text()).isEqualTo(HEAD);
  }

  @Test
  void keepsBoundedPartOfBody() {
    EmbeddedHead head = read(HEAD + "x".repeat(100_000), 1_000);

    assertThat(head.isFound()).isTrue();
    assertThat(head.text().length()).isLessThan(10_000);
  }

  private static EmbeddedHead read(String body, int partBytes) {
    EmbeddedHead head = new EmbeddedHead();
    for (int from = 0; from < body.length(); from += partBytes) {
      String part = body.substring(from, Math.min(body.length(), from + partBytes));
      head.add(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
    }
    return head;
  }
}
