package org.galenapost.core.order;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.time.MonotonicClock;

/**
 * Keeps leases as objects of the platform, changed by conditional update alone. Nobody's wall clock
 * counts: a successor waits on its own monotonic clock from when it saw the lease unchanged, and a
 * holder counts from before it asked. Safe for use by several threads.
 */
public final class PlatformLeases implements OrderLeases {

  /** The kind of the objects. */
  public static final String KIND = "lease";

  private static final LeaseRecord NEVER_HELD = new LeaseRecord(LeaseRecord.NO_HOLDER, 0, 0, 0);

  private final String ownId;
  private final LeaseSettings settings;
  private final ObjectStore store;
  private final MonotonicClock clock;
  private final Map<String, Sighting> sightingsByTask = new ConcurrentHashMap<>();

  /** A version of a lease and when it was first seen. */
  private record Sighting(long version, long seenAtNanos) {}

  /** Creates the keeper of a daemon's leases. */
  public PlatformLeases(
      String ownId, LeaseSettings settings, ObjectStore store, MonotonicClock clock) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.store = Objects.requireNonNull(store, "store");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  @Override
  public CompletionStage<Either<LeaseRefusal, HeldLease>> acquire(
      String task, long placementVersion) {
    ObjectKey key = new ObjectKey(KIND, task);
    return store
        .get(key)
        .thenCompose(
            answer ->
                answer.fold(
                    error -> onReadError(key, placementVersion, error),
                    found -> onFound(found, placementVersion)));
  }

  private CompletionStage<Either<LeaseRefusal, HeldLease>> onReadError(
      ObjectKey key, long placementVersion, PlatformError error) {
    return error instanceof PlatformError.NotFound
        ? take(key, ObjectStore.ABSENT, NEVER_HELD, placementVersion)
        : refused(LeaseRefusal.PLATFORM_UNAVAILABLE);
  }

  private CompletionStage<Either<LeaseRefusal, HeldLease>> onFound(
      VersionedObject found, long placementVersion) {
    Either<String, LeaseRecord> read = Json.read(found.json(), LeaseRecord.class);
    if (read.isLeft()) {
      return refused(LeaseRefusal.PLATFORM_UNAVAILABLE);
    }
    LeaseRecord current = read.get();
    if (current.placementVersion() > placementVersion) {
      return refused(LeaseRefusal.PLACEMENT_OUTDATED);
    }
    return current.isFree() || isOver(found, current)
        ? take(found.key(), found.version(), current, placementVersion)
        : refused(LeaseRefusal.HELD);
  }

  /** Returns whether the lease has been seen unchanged for its duration and the longest order. */
  private boolean isOver(VersionedObject found, LeaseRecord current) {
    long nowNanos = clock.nanos();
    Sighting sighting =
        sightingsByTask.compute(
            found.key().name(),
            (task, known) ->
                known != null && known.version() == found.version()
                    ? known
                    : new Sighting(found.version(), nowNanos));
    Duration wait = Duration.ofMillis(current.durationMs()).plus(settings.maxOrderDuration());
    return nowNanos - sighting.seenAtNanos() >= wait.toNanos();
  }

  private CompletionStage<Either<LeaseRefusal, HeldLease>> take(
      ObjectKey key, long expectedVersion, LeaseRecord current, long placementVersion) {
    long askedAtNanos = clock.nanos();
    LeaseRecord wanted = current.acquiredBy(ownId, settings.duration().toMillis(), placementVersion);
    return store
        .put(key, expectedVersion, Json.write(wanted))
        .thenApply(
            answer ->
                answer
                    .map(
                        written ->
                            new HeldLease(key.name(), written.version(), wanted, askedAtNanos))
                    .mapLeft(PlatformLeases::toRefusal));
  }

  /** A write whose answer was lost may stand; it then ends like any lease that nobody uses. */
  private static LeaseRefusal toRefusal(PlatformError error) {
    return error instanceof PlatformError.Conflict
        ? LeaseRefusal.CONFLICT
        : LeaseRefusal.PLATFORM_UNAVAILABLE;
  }

  private static CompletionStage<Either<LeaseRefusal, HeldLease>> refused(LeaseRefusal refusal) {
    return CompletableFuture.completedFuture(Either.left(refusal));
  }

  @Override
  public boolean mayOrder(HeldLease lease) {
    Duration needed = settings.maxOrderDuration().plus(settings.safetyMargin());
    Duration left = settings.duration().minus(clock.since(lease.requestedAtNanos()));
    return left.compareTo(needed) >= 0;
  }

  @Override
  public void release(HeldLease lease) {
    ObjectKey key = new ObjectKey(KIND, lease.task());
    store.put(key, lease.version(), Json.write(lease.record().released()));
  }

  /** Reads the lease that stands in an object, if it can be read. */
  public static Optional<LeaseRecord> read(VersionedObject object) {
    return Json.read(object.json(), LeaseRecord.class).toJavaOptional();
  }
}
