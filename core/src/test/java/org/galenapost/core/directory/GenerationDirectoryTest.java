package org.galenapost.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.testing.FakePeers;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class GenerationDirectoryTest {

  private static final DirectoryEntry ENTRY = new DirectoryEntry(new AttemptId("g-1", 2), "s1", 7);

  private final FakePeers peers = new FakePeers();
  private final List<Runnable> timers = new ArrayList<>();
  private final GenerationDirectory first = daemon("d1");
  private final GenerationDirectory second = daemon("d2");
  private final GenerationDirectory third = daemon("d3");

  @Test
  void findsGenerationsStartedByAnyDaemon() {
    for (int i = 0; i < 30; i++) {
      first.publish(key(i), ENTRY);

      assertThat(found(second, key(i))).contains(ENTRY);
      assertThat(found(third, key(i))).contains(ENTRY);
    }
  }

  @Test
  void returnsEmptyWhenOwnerIsLost() {
    // GIVEN
    for (int i = 0; i < 30; i++) {
      first.publish(key(i), ENTRY);
    }
    peers.stop("d1");

    // WHEN
    long found = IntStream.range(0, 30).filter(i -> found(second, key(i)).isPresent()).count();

    // THEN
    assertThat(found).as("entries owned by the two that remain").isBetween(1L, 29L);
  }

  @Test
  void findsGenerationsPublishedBeforeTheDaemonsKnewEachOther() {
    // GIVEN
    VirtualTime time = new VirtualTime();
    FakePeers lateNetwork = new FakePeers();
    GenerationDirectory early = new GenerationDirectory("d1", lateNetwork.bus("d1"), time, time);
    early.start();
    for (int i = 0; i < 30; i++) {
      early.publish(key(i), ENTRY);
    }

    // WHEN
    GenerationDirectory late = new GenerationDirectory("d2", lateNetwork.bus("d2"), time, time);
    late.start();

    // THEN
    for (int i = 0; i < 30; i++) {
      assertThat(late.find(key(i)).toCompletableFuture().join()).contains(ENTRY);
    }
  }

  @Test
  void movesEntriesToTheNewOwnerWhenTheMembersChange() {
    // GIVEN
    VirtualTime time = new VirtualTime();
    FakePeers lateNetwork = new FakePeers();
    GenerationDirectory early = new GenerationDirectory("d1", lateNetwork.bus("d1"), time, time);
    early.start();
    for (int i = 0; i < 30; i++) {
      early.publish(key(i), ENTRY);
    }
    GenerationDirectory late = new GenerationDirectory("d2", lateNetwork.bus("d2"), time, time);
    late.start();

    // WHEN
    time.advance(Duration.ofSeconds(1));
    lateNetwork.stop("d1");

    // THEN
    long found =
        IntStream.range(0, 30)
            .filter(i -> late.find(key(i)).toCompletableFuture().join().isPresent())
            .count();
    assertThat(found).as("entries owned by the later daemon").isBetween(1L, 29L);
  }

  private Optional<DirectoryEntry> found(GenerationDirectory directory, DirectoryKey key) {
    var answer = directory.find(key).toCompletableFuture();
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
    return answer.join();
  }

  private GenerationDirectory daemon(String id) {
    GenerationDirectory directory =
        new GenerationDirectory(
            id,
            peers.bus(id),
            (delay, task) -> {
              timers.add(task);
              return () -> timers.remove(task);
            },
            () -> 0);
    directory.start();
    return directory;
  }

  private static DirectoryKey key(int number) {
    return new DirectoryKey("w1", "g-" + number);
  }
}
