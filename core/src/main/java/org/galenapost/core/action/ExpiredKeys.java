package org.galenapost.core.action;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The digests of expired keys of one shard, grouped by the day of their claims and stored as one
 * object of the platform's object API.
 *
 * @param days the digests of each day, oldest day first
 */
record ExpiredKeys(List<Day> days) {

  static final ExpiredKeys EMPTY = new ExpiredKeys(List.of());

  private static final int MAX_CHARS = 900_000;

  ExpiredKeys {
    days = days.stream().sorted(Comparator.comparingLong(Day::epochDay)).toList();
  }

  boolean contains(String digest) {
    return days.stream().anyMatch(day -> day.contains(digest));
  }

  ExpiredKeys with(long epochDay, String digest) {
    if (contains(digest)) {
      return this;
    }
    List<Day> changed = new ArrayList<>();
    String digests = digest;
    for (Day day : days) {
      if (day.epochDay() == epochDay) {
        digests = day.digests() + digest;
      } else {
        changed.add(day);
      }
    }
    changed.add(new Day(epochDay, digests));
    return new ExpiredKeys(changed);
  }

  /** Drops the oldest days before the given one while the digests exceed the size limit. */
  ExpiredKeys trimmed(long oldestKeptDay) {
    List<Day> kept = new ArrayList<>(days);
    while (chars(kept) > MAX_CHARS && kept.get(0).epochDay() < oldestKeptDay) {
      kept.remove(0);
    }
    return new ExpiredKeys(kept);
  }

  boolean isTooLarge() {
    return chars(days) > MAX_CHARS;
  }

  private static int chars(List<Day> days) {
    return days.stream().mapToInt(day -> day.digests().length()).sum();
  }

  /**
   * The digests of one day.
   *
   * @param epochDay the day, counted from 1970-01-01
   * @param digests the concatenated digests, each of {@link ClaimLayout#DIGEST_CHARS} characters
   */
  record Day(long epochDay, String digests) {

    boolean contains(String digest) {
      int index = digests.indexOf(digest);
      while (index >= 0 && index % ClaimLayout.DIGEST_CHARS != 0) {
        index = digests.indexOf(digest, index + 1);
      }
      return index >= 0;
    }
  }
}
