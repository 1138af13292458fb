package org.galenapost.core.action;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;

/** Reads and writes the shards of expired keys and keeps the recently used ones. */
final class ExpiredShards {

  private static final int MAX_CACHED_SHARDS = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final ObjectStore store;
  private final Map<ObjectKey, Shard> cache =
      new LinkedHashMap<>(MAX_CACHED_SHARDS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ObjectKey, Shard> eldest) {
          return size() > MAX_CACHED_SHARDS;
        }
      };

  ExpiredShards(ObjectStore store) {
    this.store = store;
  }

  /** Returns a shard at a version or a later one. */
  CompletionStage<Either<PlatformError, Shard>> readAtLeast(ObjectKey key, long version) {
    Shard cached = cached(key);
    if (cached != null && cached.version() >= version) {
      return CompletableFuture.completedFuture(Either.right(cached));
    }
    return store.get(key).thenApply(answer -> keepRead(key, answer));
  }

  /** Writes a shard if its version is still the one read. */
  CompletionStage<Either<PlatformError, Shard>> write(ObjectKey key, Shard read, ExpiredKeys keys) {
    return store
        .put(key, read.version(), Json.write(keys))
        .thenApply(
            answer -> {
              forget(key);
              return answer.map(written -> keep(key, new Shard(written.version(), keys)));
            });
  }

  private Either<PlatformError, Shard> keepRead(
      ObjectKey key, Either<PlatformError, VersionedObject> answer) {
    if (answer.isLeft() && answer.getLeft() instanceof PlatformError.NotFound) {
      return Either.right(new Shard(ObjectStore.ABSENT, ExpiredKeys.EMPTY));
    }
    return answer.flatMap(
        object ->
            Json.read(object.json(), ExpiredKeys.class)
                .<PlatformError>mapLeft(
                    fault -> new PlatformError.Unavailable(key + " cannot be read: " + fault))
                .map(keys -> keep(key, new Shard(object.version(), keys))));
  }

  private synchronized Shard cached(ObjectKey key) {
    return cache.get(key);
  }

  private synchronized Shard keep(ObjectKey key, Shard shard) {
    cache.put(key, shard);
    return shard;
  }

  private synchronized void forget(ObjectKey key) {
    cache.remove(key);
  }

  /**
   * A shard as read from the platform.
   *
   * @param version its version
   * @param keys the expired keys
   */
  record Shard(long version, ExpiredKeys keys) {}
}
