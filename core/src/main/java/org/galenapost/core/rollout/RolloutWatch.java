package org.galenapost.core.rollout;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;

/**
 * Follows the orders. Every daemon lists them once when it starts. After that only the first three
 * daemons in rendezvous order watch the store, and tell the others. Not safe for use by several
 * threads.
 */
final class RolloutWatch {

  /** Two watchers may fail at the same time and the others still hear of an order. */
  private static final int WATCHERS = 3;

  private static final Duration WAIT = Duration.ofSeconds(5);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  /** How often the orders are told again while one is in progress, for daemons that missed them. */
  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

  /** The same while none is in progress. */
  private static final Duration IDLE_REPEAT_INTERVAL = Duration.ofSeconds(10);

  private final RolloutEnvironment environment;
  private final ObjectStore store;
  private final Listener listener;
  private final Map<String, RolloutOrder> orders = new TreeMap<>();
  private Set<String> toldPeers = Set.of();
  private long revision = -1;
  private long lastToldNanos;
  private boolean isListed;
  private boolean isCalling;
  private boolean isStopped;

  /** Is notified when the orders have been read or have changed. */
  @FunctionalInterface
  interface Listener {
    /** Handles all orders that the store holds. */
    void onOrders(List<RolloutOrder> orders);
  }

  RolloutWatch(RolloutEnvironment environment, ObjectStore store, Listener listener) {
    this.environment = environment;
    this.store = store;
    this.listener = listener;
  }

  void start() {
    environment.bus().onMessage(RolloutMessage.Orders.class, (sender, told) -> onTold(told));
    list();
  }

  void stop() {
    isStopped = true;
  }

  /** Returns whether the orders have been read from the store or heard from a daemon. */
  boolean isLoaded() {
    return revision >= 0;
  }

  boolean isWatcher() {
    List<String> ids = new ArrayList<>(environment.bus().livePeerIds());
    ids.add(environment.ownId());
    return Rendezvous.rank(RolloutOrder.KIND, ids, id -> id).stream()
        .limit(WATCHERS)
        .anyMatch(environment.ownId()::equals);
  }

  /** Takes up a watch that this daemon has become responsible for, and tells the orders again. */
  void tick(boolean isInProgress) {
    if (isStopped || !isWatcher()) {
      return;
    }
    if (!isCalling && isListed) {
      watch();
    }
    Duration interval = isInProgress ? REPEAT_INTERVAL : IDLE_REPEAT_INTERVAL;
    Set<String> peers = new HashSet<>(environment.bus().livePeerIds());
    boolean isNewPeer = !toldPeers.containsAll(peers);
    boolean isDue = environment.clock().since(lastToldNanos).compareTo(interval) >= 0;
    if (!orders.isEmpty() && (isDue || isNewPeer)) {
      tell();
    }
  }

  private void tell() {
    lastToldNanos = environment.clock().nanos();
    toldPeers = Set.copyOf(environment.bus().livePeerIds());
    environment.bus().broadcast(new RolloutMessage.Orders(revision, List.copyOf(orders.values())));
  }

  private void onTold(RolloutMessage.Orders told) {
    if (told.revision() > revision) {
      replace(told.revision(), told.orders());
    }
  }

  private void replace(long newRevision, List<RolloutOrder> newOrders) {
    revision = newRevision;
    orders.clear();
    newOrders.forEach(order -> orders.put(order.name(), order));
    listener.onOrders(List.copyOf(orders.values()));
  }

  private void list() {
    isCalling = true;
    store.list(RolloutOrder.KIND).whenComplete((answer, error) -> onListed(answer, error));
  }

  private void onListed(Either<PlatformError, Listing> answer, Throwable error) {
    if (isStopped) {
      return;
    }
    isCalling = false;
    if (error != null || answer.isLeft()) {
      retry(this::list);
      return;
    }
    isListed = true;
    Listing listing = answer.get();
    if (listing.revision() >= revision) {
      replace(
          listing.revision(),
          listing.objects().stream()
              .flatMap(object -> RolloutDocuments.read(object).toJavaStream())
              .toList());
    }
    if (isWatcher() && !orders.isEmpty()) {
      tell();
    }
  }

  private void watch() {
    isCalling = true;
    store
        .watch(RolloutOrder.KIND, revision, WAIT)
        .whenComplete((answer, error) -> onChanges(answer, error));
  }

  private void onChanges(Either<PlatformError, Changes> answer, Throwable error) {
    if (isStopped) {
      return;
    }
    isCalling = false;
    if (error != null || answer.isLeft()) {
      retry(this::list);
      return;
    }
    Changes changes = answer.get();
    if (changes.reset()) {
      list();
      return;
    }
    if (!changes.updated().isEmpty() || !changes.deleted().isEmpty()) {
      apply(changes);
      tell();
    } else {
      revision = Math.max(revision, changes.revision());
    }
  }

  private void apply(Changes changes) {
    Map<String, RolloutOrder> changed = new TreeMap<>(orders);
    for (VersionedObject object : changes.updated()) {
      RolloutDocuments.read(object).forEach(order -> changed.put(order.name(), order));
    }
    changes.deleted().forEach(key -> changed.remove(key.name()));
    replace(Math.max(revision, changes.revision()), List.copyOf(changed.values()));
  }

  private void retry(Runnable call) {
    isCalling = true;
    environment
        .scheduler()
        .schedule(
            RETRY_PAUSE,
            () -> {
              if (!isStopped) {
                call.run();
              }
            });
  }
}
