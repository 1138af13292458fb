package org.galenapost.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.testing.VirtualTime;

/** Compares the attribution of losses with one that goes over all losses for each part. */
class PartLossesProperties {

  private static final int STEPS = 60;

  @Property(tries = 300)
  void attributesLossesAsACountOfAllLossesDoes(
      @ForAll @IntRange(min = 1, max = 8) int parts,
      @ForAll @IntRange(min = 1, max = 2_000) int maxPauseMs,
      @ForAll long seed) {
    Random random = new Random(seed);
    VirtualTime time = new VirtualTime();
    PartLosses losses = new PartLosses(time);
    FullCount fullCount = new FullCount();

    for (int step = 0; step < STEPS; step++) {
      time.advance(Duration.ofMillis(random.nextInt(maxPauseMs)));
      if (random.nextInt(12) == 0) {
        String cleared = "p" + random.nextInt(parts);
        losses.clear(List.of(cleared));
        fullCount.clear(cleared, time.nanos());
      } else {
        String server = "s" + random.nextInt(20);
        Duration age = Duration.ofMillis(random.nextInt(600));
        List<String> suspects = randomParts(random, parts);
        losses.add(server, suspects, age);
        fullCount.add(server, suspects, time.nanos() - age.toNanos());
      }
      List<String> request = randomParts(random, parts);
      Optional<String> cause = losses.causeAmong(request);

      assertThat(cause)
          .as("cause among %s in step %d", request, step)
          .isEqualTo(fullCount.causeAmong(request, time.nanos()));
    }
  }

  private static List<String> randomParts(Random random, int parts) {
    return IntStream.range(0, parts)
        .filter(part -> random.nextInt(3) > 0)
        .mapToObj(part -> "p" + part)
        .toList();
  }

  /** The definition of a cause, without regard to the time that it takes. */
  private static final class FullCount {

    private record Loss(long atNanos, Set<String> suspects) {

      boolean isWithin(long millis, Loss other) {
        return Math.abs(atNanos - other.atNanos) <= Duration.ofMillis(millis).toNanos();
      }
    }

    private final Map<String, Loss> losses = new TreeMap<>();
    private final Map<String, Long> clearedAtNanos = new TreeMap<>();

    void add(String server, List<String> partIds, long atNanos) {
      Loss loss = losses.computeIfAbsent(server, key -> new Loss(atNanos, new HashSet<>()));
      partIds.stream()
          .filter(part -> clearedAtNanos.getOrDefault(part, Long.MIN_VALUE) < loss.atNanos())
          .forEach(loss.suspects()::add);
    }

    void clear(String partId, long nowNanos) {
      for (Loss loss : losses.values()) {
        if (loss.suspects().remove(partId)) {
          clearedAtNanos.put(partId, nowNanos);
        }
      }
    }

    Optional<String> causeAmong(Collection<String> request, long nowNanos) {
      return request.stream()
          .filter(part -> isCause(part, request, nowNanos))
          .reduce(
              (kept, next) ->
                  counted(next, nowNanos).size() >= counted(kept, nowNanos).size() ? next : kept);
    }

    private boolean isCause(String partId, Collection<String> request, long nowNanos) {
      List<Loss> counted = counted(partId, nowNanos);
      List<Loss> unexplained =
          counted.stream()
              .filter(
                  loss ->
                      loss.suspects().stream()
                          .filter(other -> !request.contains(other))
                          .noneMatch(other -> counted(other, nowNanos).size() >= counted.size()))
              .toList();
      return events(unexplained) >= 3;
    }

    private List<Loss> counted(String partId, long nowNanos) {
      return losses.values().stream()
          .filter(loss -> loss.suspects().contains(partId))
          .filter(loss -> nowNanos - loss.atNanos() >= Duration.ofMillis(250).toNanos())
          .filter(loss -> lostAtTheSameTimeWithout(partId, loss) < 2)
          .sorted(Comparator.comparingLong(Loss::atNanos))
          .toList();
    }

    private long lostAtTheSameTimeWithout(String partId, Loss loss) {
      return losses.values().stream()
          .filter(other -> other.isWithin(500, loss) && !other.suspects().contains(partId))
          .count();
    }

    private static int events(List<Loss> sorted) {
      int events = 0;
      Loss last = null;
      for (Loss loss : sorted) {
        if (last == null || !loss.isWithin(200, last)) {
          events++;
          last = loss;
        }
      }
      return events;
    }
  }
}
