package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.galenapost.core.time.MonotonicClock;

/**
 * Bounds the repeated sends to each service. All daemons together may repeat a share of the calls
 * of a window and a fixed number beyond it; each daemon keeps to the share of its own calls and to
 * its part of the fixed number. Used by one thread.
 */
public final class SendBudget {

  private static final int BUCKETS = 20;

  private final SendBudgetSettings settings;
  private final MonotonicClock clock;
  private final long bucketNanos;
  private final Map<String, Window> windows = new HashMap<>();

  /** Creates a full budget. */
  public SendBudget(SendBudgetSettings settings, MonotonicClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.bucketNanos = settings.window().toNanos() / BUCKETS;
  }

  /** Records the first send of a call. */
  public void onFirstSend(String service) {
    window(service).add(0, 1);
  }

  /**
   * Takes one repeated send if the budget allows it.
   *
   * @param service the service
   * @param daemons the daemons that share the budget, this one included
   */
  public boolean tryRetry(String service, int daemons) {
    Window window = window(service);
    double allowed =
        settings.ratio() * window.sum(window.firstSends)
            + (double) settings.extraSends() / Math.max(1, daemons);
    if (window.sum(window.repeats) + 1 > allowed) {
      return false;
    }
    window.add(1, 0);
    return true;
  }

  private Window window(String service) {
    long bucket = Math.floorDiv(clock.nanos(), bucketNanos);
    Window window = windows.computeIfAbsent(service, name -> new Window(bucket));
    window.advanceTo(bucket);
    return window;
  }

  /** Counts of the latest window, in buckets of equal length. */
  private static final class Window {

    private final int[] firstSends = new int[BUCKETS];
    private final int[] repeats = new int[BUCKETS];
    private long current;

    Window(long bucket) {
      current = bucket;
    }

    void advanceTo(long bucket) {
      long steps = Math.min(BUCKETS, bucket - current);
      for (long step = 1; step <= steps; step++) {
        int index = Math.floorMod(current + step, BUCKETS);
        firstSends[index] = 0;
        repeats[index] = 0;
      }
      current = Math.max(current, bucket);
    }

    void add(int repeated, int first) {
      int index = Math.floorMod(current, BUCKETS);
      repeats[index] += repeated;
      firstSends[index] += first;
    }

    int sum(int[] counts) {
      int total = 0;
      for (int count : counts) {
        total += count;
      }
      return total;
    }
  }

  /**
   * The bounds of repeated sends.
   *
   * @param ratio repeated sends for each call of the window
   * @param window the window
   * @param extraSends repeated sends of all daemons together beyond the ratio
   */
  public record SendBudgetSettings(double ratio, Duration window, int extraSends) {}
}
