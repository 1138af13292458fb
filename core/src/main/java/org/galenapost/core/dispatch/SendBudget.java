package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import org.galenapost.core.time.MonotonicClock;

/**
 * Limits the retries to each service. All daemons together may retry a share of the calls in a
 * sliding window, plus a fixed number of sends. Each daemon applies the share to its own calls and
 * uses its {@link FleetShare} of the fixed number. Not safe for use by several threads.
 */
public final class SendBudget {

  private static final int BUCKETS_PER_WINDOW = 100;

  private final SendBudgetSettings settings;
  private final DoubleSupplier fleetShare;
  private final MonotonicClock clock;
  private final long bucketNanos;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a budget without recorded sends.
   *
   * @param settings the limits of all daemons
   * @param fleetShare returns the part of the fixed number that this daemon may use, from 0 to 1
   * @param clock measures the window
   */
  public SendBudget(SendBudgetSettings settings, DoubleSupplier fleetShare, MonotonicClock clock) {
    this.settings = settings;
    this.fleetShare = fleetShare;
    this.clock = clock;
    this.bucketNanos = settings.window().toNanos() / BUCKETS_PER_WINDOW;
  }

  /** Records the first send of a call. */
  public void onFirstSend(String service) {
    window(service).add(0, 1);
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @param service the service
   * @return whether the retry is allowed
   */
  public boolean tryRetry(String service) {
    Window window = window(service);
    double allowed = settings.ratio() * window.firstSendCount() + fixedRetries();
    if (window.retryCount() + 1 > allowed) {
      return false;
    }
    window.add(1, 0);
    return true;
  }

  /** Returns what was sent to a service in the window that ends now. */
  public Usage usage(String service) {
    Window window = window(service);
    return new Usage(window.firstSendCount(), window.retryCount(), fixedRetries());
  }

  private double fixedRetries() {
    return settings.extraSends() * fleetShare.getAsDouble();
  }

  /**
   * The sends to one service in a window.
   *
   * @param firstSends the first sends of calls
   * @param retries the retries, those that were lent to other daemons included
   * @param fixedRetries the retries that this daemon may send beyond the share of its first sends
   */
  public record Usage(int firstSends, int retries, double fixedRetries) {}

  private Window window(String service) {
    long bucket = Math.floorDiv(clock.nanos(), bucketNanos);
    Window window = windows.computeIfAbsent(service, name -> new Window(bucket));
    window.advanceTo(bucket);
    return window;
  }

  /**
   * The counts of a sliding window, in buckets of equal length. The window begins inside of its
   * oldest bucket, whose retries count and whose first sends do not.
   */
  private static final class Window {

    private static final int BUCKETS = BUCKETS_PER_WINDOW + 1;

    private final int[] firstSends = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long currentBucket;

    Window(long bucket) {
      currentBucket = bucket;
    }

    void advanceTo(long bucket) {
      long steps = Math.min(BUCKETS, bucket - currentBucket);
      for (long step = 1; step <= steps; step++) {
        int index = Math.floorMod(currentBucket + step, BUCKETS);
        firstSends[index] = 0;
        retries[index] = 0;
      }
      currentBucket = Math.max(currentBucket, bucket);
    }

    void add(int addedRetries, int addedFirstSends) {
      int index = Math.floorMod(currentBucket, BUCKETS);
      retries[index] += addedRetries;
      firstSends[index] += addedFirstSends;
    }

    int firstSendCount() {
      int oldest = Math.floorMod(currentBucket + 1, BUCKETS);
      return IntStream.of(firstSends).sum() - firstSends[oldest];
    }

    int retryCount() {
      return IntStream.of(retries).sum();
    }
  }

  /**
   * The limits on retries.
   *
   * @param ratio the retries allowed per call in the window
   * @param window the length of the sliding window
   * @param extraSends the retries that all daemons together may add beyond the ratio, per window
   */
  public record SendBudgetSettings(double ratio, Duration window, double extraSends) {}
}
