package org.galenapost.core.dispatch;

import java.util.Arrays;
import java.util.stream.IntStream;
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
   * Returns the index of one of the waits, of which there is at least one.
   *
   * @param waitsMs the expected waits, in milliseconds
   * @param marginMs the difference from the shortest wait up to which servers count as equal
   */
  int pick(double[] waitsMs, double marginMs) {
    double shortestMs = Arrays.stream(waitsMs).min().orElseThrow();
    int[] nearEqual =
        IntStream.range(0, waitsMs.length)
            .filter(i -> waitsMs[i] <= shortestMs + marginMs)
            .toArray();
    if (nearEqual.length < 2) {
      return nearEqual[0];
    }
    int first = random.nextIndex(nearEqual.length);
    int offset = 1 + random.nextIndex(nearEqual.length - 1);
    int second = (first + offset) % nearEqual.length;
    return waitsMs[nearEqual[first]] <= waitsMs[nearEqual[second]]
        ? nearEqual[first]
        : nearEqual[second];
  }
}
