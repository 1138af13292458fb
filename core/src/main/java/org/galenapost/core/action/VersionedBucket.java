package org.galenapost.core.action;

import io.vavr.control.Either;
import java.util.Optional;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;

/**
 * A bucket with its version in the platform's object API.
 *
 * @param version the version expected by the next conditional write
 * @param bucket the bucket
 */
record VersionedBucket(long version, ClaimBucket bucket) {

  static final VersionedBucket ABSENT = new VersionedBucket(ObjectStore.ABSENT, ClaimBucket.EMPTY);

  /** Parses a bucket. A bucket that cannot be parsed is an error and is never overwritten. */
  static Either<PlatformError, VersionedBucket> of(VersionedObject object) {
    return Json.read(object.json(), ClaimBucket.class)
        .<PlatformError>mapLeft(
            fault -> new PlatformError.Unavailable(object.key() + " cannot be read: " + fault))
        .map(bucket -> new VersionedBucket(object.version(), bucket));
  }

  static Either<PlatformError, VersionedBucket> of(Optional<VersionedObject> object) {
    return object.map(VersionedBucket::of).orElseGet(() -> Either.right(ABSENT));
  }
}
