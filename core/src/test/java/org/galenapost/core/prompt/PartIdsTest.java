package org.galenapost.core.prompt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PartIdsTest {

  @Test
  void holdsIdsInTheirOrder() {
    assertThat(PartIds.of(Stream.of("5c1e", "a", "5c1e", "91bd")))
        .hasSize(4)
        .containsExactly("5c1e", "a", "5c1e", "91bd");
    assertThat(PartIds.of(Stream.of("a"))).containsExactly("a");
    assertThat(PartIds.of(Stream.empty())).isEmpty();
    assertThat(PartIds.none()).isEmpty();
  }

  @Test
  void copiesOtherCollectionsOnly() {
    PartIds ids = PartIds.copyOf(List.of("a", "b"));

    assertThat(ids).containsExactly("a", "b");
    assertThat(PartIds.copyOf(ids)).isSameAs(ids);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ",", "a,b"})
  void rejectsIdThatCannotBeToldFromSeveral(String id) {
    assertThatThrownBy(() -> PartIds.of(Stream.of(id)))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining(id);
  }
}
