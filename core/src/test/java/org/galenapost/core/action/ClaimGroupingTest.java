package org.galenapost.core.action;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class ClaimGroupingTest {

  private static final int ACTIONS_PER_SECOND = 1000;
  private static final int SECONDS = 5;
  private static final double WRITES_PER_SECOND = 300;

  @Test
  void completesMoreActionsThanThePlatformAcceptsWrites() {
    // GIVEN a platform limited to 300 writes per second and 1,000 actions per second
    // WHEN claims and outcomes are batched, and when each is written on its own
    int grouped = countGrantedActions(ClaimOptions.DEFAULT);
    int single = countGrantedActions(new ClaimOptions(1, 16, Duration.ofMillis(200)));

    // THEN batching completes all actions and single writes less than half of them
    assertThat(grouped).as("grouped, against %s single", single).isEqualTo(5000);
    assertThat(single).isLessThan(grouped / 2);
  }

  private static int countGrantedActions(ClaimOptions options) {
    VirtualTime time = new VirtualTime();
    Random random = new Random(7);
    RateLimitedStore store = new RateLimitedStore(new FakePlatform().newClient(), time);
    ClaimStore claims =
        new ClaimStore(store, time, time, time, random::nextDouble, id -> true, options);
    int[] granted = new int[1];
    for (int i = 0; i < ACTIONS_PER_SECOND * SECONDS; i++) {
      String key = "k" + i;
      Duration at = Duration.ofNanos(i * 1_000_000_000L / ACTIONS_PER_SECOND);
      time.schedule(at, () -> run(claims, time, key, granted));
    }
    time.advance(Duration.ofSeconds(SECONDS + 5));
    return granted[0];
  }

  private static void run(ClaimStore claims, VirtualTime time, String key, int[] granted) {
    ClaimOperation.Acquire acquire =
        new ClaimOperation.Acquire("w", key, "digest", "quotes", "a-" + key, "d1", time.instant());
    ActionAnswer answer = new ActionAnswer(200, "text/plain", Optional.of("done"));
    claims
        .submit(acquire)
        .thenAccept(
            result -> {
              if (result instanceof ClaimResult.Done) {
                granted[0]++;
                claims.submit(
                    new ClaimOperation.RecordAnswer("w", key, acquire.attemptId(), answer));
              }
            });
  }

  /** Adds latency and rejects writes above the rate limit. */
  private static final class RateLimitedStore implements ObjectStore {
    private static final Duration LATENCY = Duration.ofMillis(5);
    private static final double MAX_TOKENS = 30;
    private final ObjectStore target;
    private final VirtualTime time;
    private double tokens = MAX_TOKENS;
    private long refilledNanos;

    RateLimitedStore(ObjectStore target, VirtualTime time) {
      this.target = target;
      this.time = time;
    }

    @Override
    public CompletionStage<Either<PlatformError, VersionedObject>> get(ObjectKey key) {
      CompletableFuture<Either<PlatformError, VersionedObject>> answer = new CompletableFuture<>();
      time.schedule(LATENCY, () -> target.get(key).thenAccept(answer::complete));
      return answer;
    }

    @Override
    public CompletionStage<Either<PlatformError, VersionedObject>> put(
        ObjectKey key, long expectedVersion, String json) {
      CompletableFuture<Either<PlatformError, VersionedObject>> answer = new CompletableFuture<>();
      double refill = (time.nanos() - refilledNanos) * WRITES_PER_SECOND / 1e9;
      tokens = Math.min(MAX_TOKENS, tokens + refill);
      refilledNanos = time.nanos();
      if (tokens < 1) {
        PlatformError error = new PlatformError.Overloaded("429");
        time.schedule(LATENCY, () -> answer.complete(Either.left(error)));
        return answer;
      }
      tokens--;
      time.schedule(
          LATENCY, () -> target.put(key, expectedVersion, json).thenAccept(answer::complete));
      return answer;
    }

    @Override
    public CompletionStage<Either<PlatformError, Listing>> list(String kind) {
      return target.list(kind);
    }

    @Override
    public CompletionStage<Either<PlatformError, Long>> delete(ObjectKey key, long version) {
      return target.delete(key, version);
    }

    @Override
    public CompletionStage<Either<PlatformError, Changes>> watch(
        String kind, long since, Duration maxWait) {
      return target.watch(kind, since, maxWait);
    }
  }
}
