package org.galenapost.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EngineTextTest {

  private static final EngineText TEXT = EngineText.of("prompt", 7, "m1", "v1", Optional.empty());

  @Test
  void continuesAfterAcceptedTokensWithTheUninterruptedText() {
    // GIVEN
    List<String> whole = TEXT.tokens(100);
    EngineText.Cursor cursor = TEXT.cursor();

    // WHEN
    whole.subList(0, 40).forEach(cursor::accept);

    // THEN
    assertThat(cursor.next()).isEqualTo(whole.get(40));
    assertThat(cursor.next()).isEqualTo(whole.get(41));
  }

  @Test
  void differsAfterAnyWrongToken() {
    // GIVEN
    List<String> whole = TEXT.tokens(100);
    EngineText.Cursor cursor = TEXT.cursor();

    // WHEN
    whole.subList(1, 40).forEach(cursor::accept);
    List<String> continued = List.of(cursor.next(), cursor.next(), cursor.next(), cursor.next());

    // THEN
    assertThat(continued).isNotEqualTo(whole.subList(40, 44));
  }

  @Test
  void differsWithEachPartOfTheRequest() {
    // WHEN
    List<String> texts =
        List.of(
            TEXT.text(20),
            EngineText.of("prompt2", 7, "m1", "v1", Optional.empty()).text(20),
            EngineText.of("prompt", 8, "m1", "v1", Optional.empty()).text(20),
            EngineText.of("prompt", 7, "m2", "v1", Optional.empty()).text(20),
            EngineText.of("prompt", 7, "m1", "v2", Optional.empty()).text(20),
            EngineText.of("prompt", 7, "m1", "v1", Optional.of("a1")).text(20));

    // THEN
    assertThat(texts).doesNotHaveDuplicates();
  }

  @Test
  void containsCharactersOfTwoToFourBytes() {
    // WHEN
    String text = TEXT.text(2_000);

    // THEN
    assertThat(text).contains("ø", "’", "🎬");
    assertThat(text.getBytes(StandardCharsets.UTF_8)).hasSizeGreaterThan(text.length());
  }

  @Test
  void stopsAfterTheTokenCountInThePromptMarker() {
    // GIVEN
    EngineText text = EngineText.of("[stop-after=5]", 7, "m1", "v1", Optional.empty());

    // THEN
    assertThat(text.tokens(100)).hasSize(5);
    assertThat(text.finishReason(100)).isEqualTo("stop");
    assertThat(text.finishReason(4)).isEqualTo("length");
  }
}
