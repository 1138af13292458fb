package org.galenapost.core.configuration;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;

/**
 * Writes configuration objects by conditional update. A change is accepted when the platform
 * confirms the write, or when a retry finds that an earlier attempt took effect. Retries are safe
 * because they name the same expected version.
 */
public final class ConfigurationWriter {

  private static final int MAX_ATTEMPTS = 4;

  private final ObjectStore store;
  private final Consumer<ConfigurationRecord> onAccepted;

  /**
   * Creates a writer.
   *
   * @param store the platform's object API
   * @param onAccepted called with each accepted change before the write completes
   */
  public ConfigurationWriter(ObjectStore store, Consumer<ConfigurationRecord> onAccepted) {
    this.store = Objects.requireNonNull(store, "store");
    this.onAccepted = Objects.requireNonNull(onAccepted, "onAccepted");
  }

  /**
   * Writes an object if its current version equals the expected one.
   *
   * @param expectedVersion the version last read, or {@link ObjectStore#ABSENT}
   */
  public CompletionStage<Either<WriteFailure, ConfigurationRecord>> write(
      ConfigurationKind kind, String name, long expectedVersion, String json) {
    List<ConfigurationFault> faults = ConfigurationDocuments.faults(kind, name, json);
    if (!faults.isEmpty()) {
      return CompletableFuture.completedFuture(Either.left(new WriteFailure.Invalid(faults)));
    }
    ConfigurationRecord requested =
        new ConfigurationRecord(kind, name, expectedVersion, Optional.of(json));
    return tryWrite(requested, false, MAX_ATTEMPTS).thenApply(this::notifyIfAccepted);
  }

  /** Deletes an object if its current version equals the expected one. */
  public CompletionStage<Either<WriteFailure, ConfigurationRecord>> delete(
      ConfigurationKind kind, String name, long expectedVersion) {
    ConfigurationRecord requested = ConfigurationRecord.deleted(kind, name, expectedVersion);
    return tryWrite(requested, false, MAX_ATTEMPTS).thenApply(this::notifyIfAccepted);
  }

  private Either<WriteFailure, ConfigurationRecord> notifyIfAccepted(
      Either<WriteFailure, ConfigurationRecord> result) {
    return result.peek(onAccepted);
  }

  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> tryWrite(
      ConfigurationRecord requested, boolean isRetry, int attemptsLeft) {
    return call(requested)
        .thenCompose(
            result ->
                result.isRight()
                    ? CompletableFuture.completedFuture(Either.right(result.get()))
                    : handleError(requested, result.getLeft(), isRetry, attemptsLeft));
  }

  private CompletionStage<Either<PlatformError, ConfigurationRecord>> call(
      ConfigurationRecord requested) {
    if (requested.json().isPresent()) {
      return store
          .put(requested.key(), requested.version(), requested.json().get())
          .thenApply(answer -> answer.map(o -> ConfigurationRecord.of(requested.kind(), o)));
    }
    return store
        .delete(requested.key(), requested.version())
        .thenApply(
            answer ->
                answer.map(
                    version ->
                        ConfigurationRecord.deleted(requested.kind(), requested.name(), version)));
  }

  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> handleError(
      ConfigurationRecord requested, PlatformError error, boolean isRetry, int attemptsLeft) {
    if (error instanceof PlatformError.AnswerLost && attemptsLeft > 1) {
      return tryWrite(requested, true, attemptsLeft - 1);
    }
    boolean isAbsent =
        error instanceof PlatformError.NotFound
            || (error instanceof PlatformError.Conflict conflict && conflict.current().isEmpty());
    if (isAbsent && isRetry && requested.json().isEmpty()) {
      return deletionRevision(requested);
    }
    return CompletableFuture.completedFuture(toResult(requested, error, isRetry));
  }

  private Either<WriteFailure, ConfigurationRecord> toResult(
      ConfigurationRecord requested, PlatformError error, boolean isRetry) {
    if (error instanceof PlatformError.Conflict conflict) {
      Optional<ConfigurationRecord> current =
          conflict.current().map(o -> ConfigurationRecord.of(requested.kind(), o));
      boolean isOwnWrite =
          isRetry && current.filter(found -> isSameValue(requested, found)).isPresent();
      return isOwnWrite ? Either.right(current.get()) : Either.left(conflict(requested, current));
    }
    if (error instanceof PlatformError.NotFound) {
      return Either.left(conflict(requested, Optional.empty()));
    }
    if (error instanceof PlatformError.Invalid invalid) {
      ConfigurationFault fault =
          new ConfigurationFault("document", "a value that the platform takes", invalid.detail());
      return Either.left(new WriteFailure.Invalid(List.of(fault)));
    }
    return Either.left(failureWithoutAnswer(error, isRetry));
  }

  private static WriteFailure failureWithoutAnswer(PlatformError error, boolean isRetry) {
    if (error instanceof PlatformError.Unavailable unavailable && !isRetry) {
      return new WriteFailure.Unavailable(unavailable.detail());
    }
    if (error instanceof PlatformError.Overloaded overloaded && !isRetry) {
      return new WriteFailure.Unavailable(overloaded.detail());
    }
    return new WriteFailure.OutcomeUnknown("the platform's answer was lost: " + error);
  }

  /** Completes a lost deletion with the revision of a listing taken after the object was absent. */
  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> deletionRevision(
      ConfigurationRecord requested) {
    return store
        .list(requested.kind().wireName())
        .thenApply(
            answer ->
                answer
                    .map(
                        listing ->
                            ConfigurationRecord.deleted(
                                requested.kind(), requested.name(), listing.revision()))
                    .mapLeft(error -> failureWithoutAnswer(error, true)));
  }

  private static boolean isSameValue(ConfigurationRecord requested, ConfigurationRecord found) {
    return requested.json().isPresent()
        && found.json().isPresent()
        && FieldDifference.isSameJson(requested.json().get(), found.json().get());
  }

  private static WriteFailure.Conflict conflict(
      ConfigurationRecord requested, Optional<ConfigurationRecord> current) {
    String empty = "{}";
    String requestedJson = requested.json().orElse(empty);
    String currentJson = current.flatMap(ConfigurationRecord::json).orElse(empty);
    return new WriteFailure.Conflict(current, FieldDifference.between(requestedJson, currentJson));
  }
}
