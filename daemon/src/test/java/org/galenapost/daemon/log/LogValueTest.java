package org.galenapost.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LogValueTest {

  @Property(seed = "42")
  void keepsValueOnOneLineAndInOnePair(@ForAll String value) {
    // WHEN
    String escaped = LogValue.escape(value);

    // THEN
    assertThat(escaped.lines().count()).isLessThanOrEqualTo(1);
    assertThat(escaped).doesNotContain("\n", "\r");
    if (!escaped.startsWith("\"")) {
      assertThat(escaped).doesNotContain(" ", "=").isNotEmpty();
    }
  }

  @Test
  void escapesLineBreakThatWouldForgeAnEvent() {
    // GIVEN
    String forged = "x\nevent=service_stopped";

    // WHEN
    String escaped = LogValue.escape(forged);

    // THEN
    assertThat(escaped).isEqualTo("\"x\\u000aevent=service_stopped\"");
  }

  /** Guards against ids of callers that fill the queue of the log. */
  @Test
  void cutsLongValue() {
    String escaped = LogValue.escape("i".repeat(15_000));

    assertThat(escaped).startsWith("iii").endsWith("...").hasSizeLessThan(600);
  }
}
