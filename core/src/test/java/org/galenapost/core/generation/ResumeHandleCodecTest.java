package org.galenapost.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ResumeHandleCodecTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final HandleKeys.HandleKey OLD = key((byte) 1);
  private static final HandleKeys.HandleKey NEW = key((byte) 2);
  private static final RequestDigest DIGEST = new RequestDigest("0".repeat(32));
  private static final ResumeHandle HANDLE =
      new ResumeHandle(
          "g-17",
          new AttemptId("g-17", 3),
          "engine-4",
          "v2",
          99,
          412,
          new RollingHash(-5),
          DIGEST,
          NOW);

  private final ResumeHandleCodec codec = codec(HandleKeys.single("k1", OLD), NOW);

  @Test
  void decodesEncodedHandle() {
    String text = codec.encode(HANDLE, "w1");

    assertThat(codec.decode(text, "w1", DIGEST).get()).isEqualTo(HANDLE);
    assertThat(text).hasSizeLessThan(140).matches("[A-Za-z0-9_-]+");
  }

  @Test
  void decodesGenerationThatDiffersFromThatOfTheAttempt() {
    ResumeHandle replaced =
        new ResumeHandle(
            "g-18", HANDLE.attempt(), "s1", "v1", 1, 2, RollingHash.EMPTY, DIGEST, NOW);

    String text = codec.encode(replaced, "w1");

    assertThat(codec.decode(text, "w1", DIGEST).get()).isEqualTo(replaced);
  }

  @Test
  void rejectsForeignAndExpiredHandles() {
    // GIVEN
    String text = codec.encode(HANDLE, "w1");
    RequestDigest otherBody = new RequestDigest("1".repeat(32));
    ResumeHandleCodec later = codec(HandleKeys.single("k1", OLD), NOW.plus(Duration.ofHours(2)));

    // WHEN / THEN
    assertThat(codec.decode(text, "w2", DIGEST).getLeft()).isEqualTo(HandleError.FORGED);
    assertThat(codec.decode(text, "w1", otherBody).getLeft()).isEqualTo(HandleError.FOREIGN);
    assertThat(later.decode(text, "w1", DIGEST).getLeft()).isEqualTo(HandleError.EXPIRED);
  }

  @Property(tries = 500, seed = "4614")
  void rejectsHandleWithAnyChangedByte(
      @ForAll @IntRange(max = 112) int position, @ForAll @IntRange(min = 1, max = 63) int change) {
    String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    char[] text = codec.encode(HANDLE, "w1").toCharArray();
    int at = position % (text.length - 1);
    text[at] = alphabet.charAt((alphabet.indexOf(text[at]) + change) % alphabet.length());

    assertThat(codec.decode(new String(text), "w1", DIGEST).isLeft()).isTrue();
  }

  @Property(tries = 500, seed = "4615")
  void rejectsArbitraryText(@ForAll String text) {
    assertThat(codec.decode(text, "w1", DIGEST).getLeft()).isEqualTo(HandleError.FORGED);
  }

  @Test
  void acceptsBothKeysDuringKeyRotation() {
    // GIVEN
    ResumeHandleCodec both = codec(new HandleKeys("k2", Map.of("k1", OLD, "k2", NEW)), NOW);

    // WHEN
    String fromOld = codec.encode(HANDLE, "w1");
    String fromNew = both.encode(HANDLE, "w1");

    // THEN
    assertThat(both.decode(fromOld, "w1", DIGEST).isRight()).isTrue();
    assertThat(both.decode(fromNew, "w1", DIGEST).isRight()).isTrue();
    assertThat(codec.decode(fromNew, "w1", DIGEST).getLeft()).isEqualTo(HandleError.FORGED);
  }

  private static ResumeHandleCodec codec(HandleKeys keys, Instant now) {
    return new ResumeHandleCodec(keys, Duration.ofHours(1), InstantSource.fixed(now));
  }

  private static HandleKeys.HandleKey key(byte fill) {
    byte[] secret = new byte[32];
    Arrays.fill(secret, fill);
    return new HandleKeys.HandleKey(secret);
  }
}
