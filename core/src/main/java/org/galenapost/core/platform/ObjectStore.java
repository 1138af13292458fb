package org.galenapost.core.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A client of the platform's object API, with versions, conditional updates and watches. */
public interface ObjectStore {

  /** The expected version of an object that must not exist yet. */
  long ABSENT = 0;

  /** Reads one object. */
  CompletionStage<Either<PlatformError, VersionedObject>> get(ObjectKey key);

  /** Reads all objects of a kind. */
  CompletionStage<Either<PlatformError, Listing>> list(String kind);

  /**
   * Reads all objects of a kind as they were up to some seconds ago, which costs the platform less.
   */
  default CompletionStage<Either<PlatformError, Listing>> listRecent(String kind) {
    return list(kind);
  }

  /**
   * Writes an object if its current version equals the expected one.
   *
   * @param key the key of the object
   * @param expectedVersion the version last read, or {@link #ABSENT}
   * @param json the new value as JSON text
   */
  CompletionStage<Either<PlatformError, VersionedObject>> put(
      ObjectKey key, long expectedVersion, String json);

  /**
   * Writes the status of an object if the object's current version equals the expected one. The
   * rest of the object stays as it is. The store of a platform without statuses rejects the call.
   *
   * @param key the key of the object
   * @param expectedVersion the version last read
   * @param json the status as JSON text
   */
  default CompletionStage<Either<PlatformError, VersionedObject>> putStatus(
      ObjectKey key, long expectedVersion, String json) {
    return CompletableFuture.completedFuture(
        Either.left(new PlatformError.Invalid("the store keeps no statuses")));
  }

  /**
   * Deletes an object if its current version equals the expected one.
   *
   * @return the version of the deletion
   */
  CompletionStage<Either<PlatformError, Long>> delete(ObjectKey key, long expectedVersion);

  /**
   * Waits for changes of a kind after a revision.
   *
   * @param kind the kind to watch
   * @param sinceRevision the revision of the last listing or watch
   * @param maxWait how long the platform holds the call open when nothing changes
   */
  CompletionStage<Either<PlatformError, Changes>> watch(
      String kind, long sinceRevision, Duration maxWait);
}
