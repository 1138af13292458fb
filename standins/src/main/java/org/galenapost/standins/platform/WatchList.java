package org.galenapost.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.standins.http.Exchange;

/** Holds watches until an object changes or their wait time expires. Runs on the event loop. */
final class WatchList {

  private final ScheduledExecutorService eventLoop;
  private final ObjectTable table;
  private final List<Watch> waiting = new ArrayList<>();

  WatchList(ScheduledExecutorService eventLoop, ObjectTable table) {
    this.eventLoop = eventLoop;
    this.table = table;
  }

  /**
   * Responds at once if there are changes or the wait time is not positive; otherwise holds the
   * exchange.
   *
   * @param waitMs the maximum time to hold the exchange, in milliseconds
   */
  void add(Exchange exchange, String kind, long since, long waitMs) {
    ObjectChanges changes = table.changesSince(kind, since);
    if (!changes.isEmpty() || waitMs <= 0) {
      exchange.replyOk(changes);
      return;
    }
    Watch watch = new Watch(exchange, kind, since);
    waiting.add(watch);
    watch.timeout = eventLoop.schedule(() -> complete(watch), waitMs, TimeUnit.MILLISECONDS);
    exchange.onClose(() -> remove(watch));
  }

  /** Completes the watches of a kind that has changed. */
  void completeWatches(String kind) {
    List.copyOf(waiting).stream().filter(watch -> watch.kind.equals(kind)).forEach(this::complete);
  }

  /** Removes all held watches and passes their exchanges to the receiver. */
  void drain(Consumer<Exchange> receiver) {
    List<Watch> drained = List.copyOf(waiting);
    drained.forEach(this::remove);
    drained.forEach(watch -> receiver.accept(watch.exchange));
  }

  /** Returns the number of held watches. */
  int size() {
    return waiting.size();
  }

  private void complete(Watch watch) {
    if (remove(watch)) {
      watch.exchange.replyOk(table.changesSince(watch.kind, watch.since));
    }
  }

  private boolean remove(Watch watch) {
    watch.timeout.cancel(false);
    return waiting.remove(watch);
  }

  private static final class Watch {

    private final Exchange exchange;
    private final String kind;
    private final long since;
    private Future<?> timeout;

    private Watch(Exchange exchange, String kind, long since) {
      this.exchange = exchange;
      this.kind = kind;
      this.since = since;
    }
  }
}
