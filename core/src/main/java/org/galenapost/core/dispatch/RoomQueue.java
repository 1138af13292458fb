package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * The calls of a daemon that wait until a server has the room that their priority may fill. More
 * urgent calls go first. Among equals, workspaces take turns. A call that its caller repeats is a
 * call like any other. Not safe for use by several threads.
 */
public final class RoomQueue {

  /** The delay of use reports, by which daemons learn that room appeared elsewhere. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

  /** Bounds the memory and the time of one check. */
  private static final int MAX_WAITING = 64;

  /** The part of the waiting calls of a service that one workspace may have. */
  private static final int MAX_WAITING_OF_WORKSPACE = MAX_WAITING / 2;

  private static final Duration RATE_HALF_LIFE = Duration.ofSeconds(2);

  /** Assumed before calls have started from the queue, so that an estimate exists. */
  private static final double MIN_STARTS_PER_S = 1;

  /** Nothing can have changed before the next check. */
  private static final Duration MIN_RETRY_AFTER = CHECK_PERIOD;

  /** Bounds an estimate that rests on few starts. */
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

  private static final double NANOS_PER_S = 1e9;

  private static final Comparator<Ticket> ORDER =
      Comparator.comparingInt((Ticket ticket) -> ticket.waiter.priority())
          .thenComparingLong(ticket -> ticket.turn)
          .thenComparingLong(ticket -> ticket.number);

  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private long nextNumber;
  private boolean isCheckScheduled;
  private long startedCount;
  private long refusedCount;

  /**
   * A call that waits.
   *
   * @param service the service that it waits for
   * @param priority the priority; 0 is the highest
   * @param workspace the workspace; empty if the call has none
   * @param latestStartNanos until when it can be sent and answered in time, on the monotonic clock
   * @param tryStart sends the call if a server has room, and returns whether it no longer waits
   * @param onTooLate receives when the caller may come back if the call has waited for too long
   */
  public record Waiter(
      String service,
      int priority,
      String workspace,
      long latestStartNanos,
      BooleanSupplier tryStart,
      Consumer<Duration> onTooLate) {}

  /** Creates an empty queue. */
  public RoomQueue(MonotonicClock clock, Scheduler scheduler, RandomSource random) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Returns whether a call of at least the given priority waits for the service. */
  public boolean isAnyAhead(String service, int priority) {
    ServiceQueue queue = queues.get(service);
    return queue != null
        && !queue.tickets.isEmpty()
        && queue.tickets.first().waiter.priority() <= priority;
  }

  /**
   * Lets a call wait, unless it would wait for too long.
   *
   * @return the call's place; empty if it was refused through {@code onTooLate}
   */
  public Optional<Ticket> enter(Waiter waiter) {
    ServiceQueue queue = queues.computeIfAbsent(waiter.service(), name -> new ServiceQueue());
    Ticket ticket = new Ticket(waiter, queue, nextNumber++);
    double waitS = (queue.tickets.headSet(ticket).size() + 1) / queue.startsPerS(clock.nanos());
    boolean isInTime =
        clock.nanos() + (long) (waitS * NANOS_PER_S) - waiter.latestStartNanos() <= 0;
    long ofWorkspace =
        queue.tickets.stream()
            .filter(other -> other.waiter.workspace().equals(waiter.workspace()))
            .count();
    boolean isFull =
        queue.tickets.size() >= MAX_WAITING
            || (!waiter.workspace().isEmpty() && ofWorkspace >= MAX_WAITING_OF_WORKSPACE);
    if (!isInTime || isFull) {
      refuse(ticket);
      return Optional.empty();
    }
    queue.lastTurns.put(waiter.workspace(), ticket.turn);
    queue.tickets.add(ticket);
    scheduleCheck();
    return Optional.of(ticket);
  }

  private void refuse(Ticket ticket) {
    refusedCount++;
    double waitS = (ticket.queue.tickets.size() + 1) / ticket.queue.startsPerS(clock.nanos());
    Duration estimate = Duration.ofNanos((long) (waitS * NANOS_PER_S));
    Duration bounded =
        estimate.compareTo(MIN_RETRY_AFTER) < 0
            ? MIN_RETRY_AFTER
            : estimate.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : estimate;
    Duration retryAfter = Duration.ofNanos((long) (bounded.toNanos() * (1 + random.nextDouble())));
    ticket.waiter.onTooLate().accept(retryAfter);
  }

  private void scheduleCheck() {
    if (!isCheckScheduled) {
      isCheckScheduled = true;
      scheduler.schedule(CHECK_PERIOD, this::check);
    }
  }

  private void check() {
    isCheckScheduled = false;
    new ArrayList<>(queues.values())
        .forEach(queue -> new ArrayList<>(queue.tickets).forEach(this::check));
    queues.values().forEach(ServiceQueue::forgetTurnsIfEmpty);
    if (waitingCount() > 0) {
      scheduleCheck();
    }
  }

  private void check(Ticket ticket) {
    if (!ticket.queue.tickets.contains(ticket)) {
      return;
    }
    if (ticket.waiter.tryStart().getAsBoolean()) {
      ticket.leave();
    } else if (ticket.waiter.latestStartNanos() - clock.nanos() <= 0) {
      ticket.leave();
      refuse(ticket);
    }
  }

  /** Returns the number of calls that wait, for the metrics. */
  public int waitingCount() {
    return queues.values().stream().mapToInt(queue -> queue.tickets.size()).sum();
  }

  /** Returns the number of calls that were sent after they had waited, for the metrics. */
  public long startedCount() {
    return startedCount;
  }

  /** Returns the number of calls that were refused for want of room, for the metrics. */
  public long refusedCount() {
    return refusedCount;
  }

  /** The place of one waiting call. */
  public final class Ticket {

    private final Waiter waiter;
    private final ServiceQueue queue;
    private final long turn;
    private final long number;

    private Ticket(Waiter waiter, ServiceQueue queue, long number) {
      this.waiter = waiter;
      this.queue = queue;
      this.number = number;
      this.turn =
          Math.max(queue.startedTurn, queue.lastTurns.getOrDefault(waiter.workspace(), 0L) + 1);
    }

    /** Gives the place up because the call is sent. */
    public void start() {
      if (queue.tickets.remove(this)) {
        startedCount++;
        queue.startedTurn = Math.max(queue.startedTurn, turn);
        queue.recordStart(clock.nanos());
      }
    }

    /** Gives the place up. */
    public void leave() {
      queue.tickets.remove(this);
    }
  }

  private static final class ServiceQueue {
    private final TreeSet<Ticket> tickets = new TreeSet<>(ORDER);
    private final Map<String, Long> lastTurns = new HashMap<>();
    private long startedTurn;
    private double recentStarts;
    private long startNanos;

    void recordStart(long nowNanos) {
      recentStarts = decayedStarts(nowNanos) + 1;
      startNanos = nowNanos;
    }

    /** The sum of decaying counts is the rate times the mean life of a count. */
    double startsPerS(long nowNanos) {
      double meanLifeS = RATE_HALF_LIFE.toNanos() / NANOS_PER_S / Math.log(2);
      return Math.max(MIN_STARTS_PER_S, decayedStarts(nowNanos) / meanLifeS);
    }

    private double decayedStarts(long nowNanos) {
      double halfLives = (double) (nowNanos - startNanos) / RATE_HALF_LIFE.toNanos();
      return recentStarts * Math.pow(0.5, halfLives);
    }

    void forgetTurnsIfEmpty() {
      if (tickets.isEmpty()) {
        lastTurns.clear();
        startedTurn = 0;
      }
    }
  }
}
