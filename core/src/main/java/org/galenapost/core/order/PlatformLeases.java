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
 * Stores leases as platform objects that are changed only by conditional updates. Expiry depends on
 * no wall clock: a successor measures the wait on its own monotonic clock from when it first read
 * the current version of the lease, and a holder measures from before it sent the write.
 * Thread-safe.
 */
public final class PlatformLeases implements OrderLeases {

  /** The kind of the lease objects. */
  public static final String KIND = "lease";

  private static final LeaseRecord NEVER_HELD = new LeaseRecord(LeaseRecord.NO_HOLDER, 0, 0, 0);

  private final String ownId;
  private final LeaseSettings settings;
  private final ObjectStore store;
  private final MonotonicClock clock;
  private final Map<String, ObservedVersion> observedVersionsByTask = new ConcurrentHashMap<>();

  /** A version of a lease and when this daemon first read it. */
  private record ObservedVersion(long version, long firstSeenAtNanos) {}

  /** Creates the lease store of the daemon with this id. */
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
        ? writeLease(key, ObjectStore.ABSENT, NEVER_HELD, placementVersion)
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
    return current.isFree() || isExpired(found, current)
        ? writeLease(found.key(), found.version(), current, placementVersion)
        : refused(LeaseRefusal.HELD);
  }

  /** Returns whether the version is unchanged for the lease duration and the longest order. */
  private boolean isExpired(VersionedObject found, LeaseRecord current) {
    long nowNanos = clock.nanos();
    ObservedVersion observed =
        observedVersionsByTask.compute(
            found.key().name(),
            (task, known) ->
                known != null && known.version() == found.version()
                    ? known
                    : new ObservedVersion(found.version(), nowNanos));
    Duration wait = Duration.ofMillis(current.durationMs()).plus(settings.maxOrderDuration());
    return nowNanos - observed.firstSeenAtNanos() >= wait.toNanos();
  }

  private CompletionStage<Either<LeaseRefusal, HeldLease>> writeLease(
      ObjectKey key, long expectedVersion, LeaseRecord current, long placementVersion) {
    long requestedAtNanos = clock.nanos();
    LeaseRecord wanted =
        current.acquiredBy(ownId, settings.duration().toMillis(), placementVersion);
    return store
        .put(key, expectedVersion, Json.write(wanted))
        .thenApply(
            answer ->
                answer
                    .map(
                        written ->
                            new HeldLease(key.name(), written.version(), wanted, requestedAtNanos))
                    .mapLeft(PlatformLeases::toRefusal));
  }

  /** Maps a failed write; if only its answer was lost, the written lease expires unused. */
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

  /** Parses the lease in an object; returns empty if the JSON is not a valid lease. */
  public static Optional<LeaseRecord> read(VersionedObject object) {
    return Json.read(object.json(), LeaseRecord.class).toJavaOptional();
  }
}
