package org.galenapost.core.action;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;

/** Lists claims without an outcome and settles them on behalf of an operator. */
public final class OpenClaims {

  /** Maximum number of claims in one listing. */
  public static final int MAX_LISTED = 1000;

  private final ObjectStore store;
  private final ClaimSubmitter claims;

  /** Creates the access to open claims. */
  public OpenClaims(ObjectStore store, ClaimSubmitter claims) {
    this.store = Objects.requireNonNull(store, "store");
    this.claims = Objects.requireNonNull(claims, "claims");
  }

  /** Reads the buckets sequentially and returns at most {@link #MAX_LISTED} open claims. */
  public CompletionStage<Either<PlatformError, List<Claim>>> list() {
    return listFrom(0, new ArrayList<>());
  }

  /** Records an operator's finding about an open claim. */
  public CompletionStage<ClaimResult> settle(String workspace, String key, boolean hasRun) {
    return claims.submit(
        hasRun
            ? new ClaimOperation.SettleRan(workspace, key)
            : new ClaimOperation.SettleNotRun(workspace, key));
  }

  private CompletionStage<Either<PlatformError, List<Claim>>> listFrom(
      int bucketId, List<Claim> found) {
    if (bucketId == ClaimLayout.BUCKETS || found.size() >= MAX_LISTED) {
      List<Claim> listed = found.subList(0, Math.min(found.size(), MAX_LISTED));
      return CompletableFuture.completedFuture(Either.right(List.copyOf(listed)));
    }
    return store
        .get(ClaimLayout.bucketKey(bucketId))
        .thenCompose(
            answer -> {
              Either<PlatformError, List<Claim>> open = openClaims(answer);
              open.peek(found::addAll);
              return open.isLeft()
                  ? CompletableFuture.completedFuture(open)
                  : listFrom(bucketId + 1, found);
            });
  }

  private static Either<PlatformError, List<Claim>> openClaims(
      Either<PlatformError, VersionedObject> answer) {
    if (answer.isLeft() && answer.getLeft() instanceof PlatformError.NotFound) {
      return Either.right(List.of());
    }
    return answer
        .flatMap(VersionedBucket::of)
        .map(
            current ->
                current.bucket().claims().stream()
                    .filter(claim -> claim.state().isOpen())
                    .toList());
  }
}
