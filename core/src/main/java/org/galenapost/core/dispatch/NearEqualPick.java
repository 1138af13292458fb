package org.galenapost.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.time.RandomSource;

/**
 * Picks the better of two random servers among those whose waits differ little from the shortest.
 * Uses reach the other daemons with a delay, so many daemons see the same server as the least used
 * one, such as a server that has just started. Without a random part all of them would choose it.
 */
final class NearEqualPick {

  private final RandomSource random;

  NearEqualPick(RandomSource random) {
    this.random = random;
  }

  /**
   * Returns one of the choices; empty if there are none.
   *
   * @param choices the servers with their expected waits
   * @param marginMs the difference from the shortest wait up to which servers count as equal
   */
  Optional<Choice> pick(List<Choice> choices, double marginMs) {
    double shortestMs = choices.stream().mapToDouble(Choice::expectedWaitMs).min().orElse(0);
    List<Choice> nearEqual =
        choices.stream()
            .filter(choice -> choice.expectedWaitMs() <= shortestMs + marginMs)
            .toList();
    if (nearEqual.size() < 2) {
      return nearEqual.stream().findFirst();
    }
    int first = random.nextIndex(nearEqual.size());
    int offset = 1 + random.nextIndex(nearEqual.size() - 1);
    int second = (first + offset) % nearEqual.size();
    return List.of(nearEqual.get(first), nearEqual.get(second)).stream()
        .min(Comparator.comparingDouble(Choice::expectedWaitMs));
  }
}
