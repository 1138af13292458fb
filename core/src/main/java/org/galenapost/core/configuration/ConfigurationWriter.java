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
 * Writes configuration objects by conditional update. A change is accepted once the platform
 * answered the write, or once a repeat of it showed that it stands; repeats are safe because they
 * name the same expected version.
 */
public final class ConfigurationWriter {

  private static final int MAX_ATTEMPTS = 4;

  private final ObjectStore store;
  private final Consumer<ConfigurationRecord> onAccepted;

  /**
   * Creates a writer.
   *
   * @param store the platform's object API
   * @param onAccepted told of each accepted change before the operator is
   */
  public ConfigurationWriter(ObjectStore store, Consumer<ConfigurationRecord> onAccepted) {
    this.store = Objects.requireNonNull(store, "store");
    this.onAccepted = Objects.requireNonNull(onAccepted, "onAccepted");
  }

  /**
   * Writes an object if its version is still the expected one.
   *
   * @param expectedVersion the version last read, or {@link ObjectStore#ABSENT}
   */
  public CompletionStage<Either<WriteFailure, ConfigurationRecord>> write(
      ConfigurationKind kind, String name, long expectedVersion, String json) {
    List<ConfigurationFault> faults = ConfigurationDocuments.faults(kind, name, json);
    if (!faults.isEmpty()) {
      return CompletableFuture.completedFuture(Either.left(new WriteFailure.Invalid(faults)));
    }
    ConfigurationRecord wanted =
        new ConfigurationRecord(kind, name, expectedVersion, Optional.of(json));
    return tryWrite(wanted, false, MAX_ATTEMPTS).thenApply(this::notifyIfAccepted);
  }

  /** Deletes an object if its version is still the expected one. */
  public CompletionStage<Either<WriteFailure, ConfigurationRecord>> delete(
      ConfigurationKind kind, String name, long expectedVersion) {
    ConfigurationRecord wanted = ConfigurationRecord.deleted(kind, name, expectedVersion);
    return tryWrite(wanted, false, MAX_ATTEMPTS).thenApply(this::notifyIfAccepted);
  }

  private Either<WriteFailure, ConfigurationRecord> notifyIfAccepted(
      Either<WriteFailure, ConfigurationRecord> result) {
    return result.peek(onAccepted);
  }

  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> tryWrite(
      ConfigurationRecord wanted, boolean isRepeat, int triesLeft) {
    return call(wanted)
        .thenCompose(
            result ->
                result.isRight()
                    ? CompletableFuture.completedFuture(Either.right(result.get()))
                    : handleError(wanted, result.getLeft(), isRepeat, triesLeft));
  }

  private CompletionStage<Either<PlatformError, ConfigurationRecord>> call(
      ConfigurationRecord wanted) {
    if (wanted.json().isPresent()) {
      return store
          .put(wanted.key(), wanted.version(), wanted.json().get())
          .thenApply(answer -> answer.map(o -> ConfigurationRecord.of(wanted.kind(), o)));
    }
    return store
        .delete(wanted.key(), wanted.version())
        .thenApply(
            answer ->
                answer.map(
                    version -> ConfigurationRecord.deleted(wanted.kind(), wanted.name(), version)));
  }

  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> handleError(
      ConfigurationRecord wanted, PlatformError error, boolean isRepeat, int triesLeft) {
    if (error instanceof PlatformError.AnswerLost && triesLeft > 1) {
      return tryWrite(wanted, true, triesLeft - 1);
    }
    boolean isGone =
        error instanceof PlatformError.NotFound
            || (error instanceof PlatformError.Conflict conflict && conflict.current().isEmpty());
    if (isGone && isRepeat && wanted.json().isEmpty()) {
      return deletionRevision(wanted);
    }
    return CompletableFuture.completedFuture(toResult(wanted, error, isRepeat));
  }

  private Either<WriteFailure, ConfigurationRecord> toResult(
      ConfigurationRecord wanted, PlatformError error, boolean isRepeat) {
    if (error instanceof PlatformError.Conflict conflict) {
      Optional<ConfigurationRecord> current =
          conflict.current().map(o -> ConfigurationRecord.of(wanted.kind(), o));
      boolean isOurs = isRepeat && current.filter(found -> isSameValue(wanted, found)).isPresent();
      return isOurs ? Either.right(current.get()) : Either.left(conflict(wanted, current));
    }
    if (error instanceof PlatformError.NotFound) {
      return Either.left(conflict(wanted, Optional.empty()));
    }
    if (error instanceof PlatformError.Invalid invalid) {
      ConfigurationFault fault =
          new ConfigurationFault("document", "a value that the platform takes", invalid.detail());
      return Either.left(new WriteFailure.Invalid(List.of(fault)));
    }
    return Either.left(failureWithoutAnswer(error, isRepeat));
  }

  private static WriteFailure failureWithoutAnswer(PlatformError error, boolean isRepeat) {
    if (error instanceof PlatformError.Unavailable unavailable && !isRepeat) {
      return new WriteFailure.Unavailable(unavailable.detail());
    }
    if (error instanceof PlatformError.Overloaded overloaded && !isRepeat) {
      return new WriteFailure.Unavailable(overloaded.detail());
    }
    return new WriteFailure.OutcomeUnknown("the platform's answer was lost: " + error);
  }

  /** Finds a revision at which a deleted object is known to be absent. */
  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> deletionRevision(
      ConfigurationRecord wanted) {
    return store
        .list(wanted.kind().wireName())
        .thenApply(
            answer ->
                answer
                    .map(
                        listing ->
                            ConfigurationRecord.deleted(
                                wanted.kind(), wanted.name(), listing.revision()))
                    .mapLeft(error -> failureWithoutAnswer(error, true)));
  }

  private static boolean isSameValue(ConfigurationRecord wanted, ConfigurationRecord found) {
    return wanted.json().isPresent()
        && found.json().isPresent()
        && FieldDifference.isSameJson(wanted.json().get(), found.json().get());
  }

  private static WriteFailure.Conflict conflict(
      ConfigurationRecord wanted, Optional<ConfigurationRecord> current) {
    String empty = "{}";
    String yours = wanted.json().orElse(empty);
    String theirs = current.flatMap(ConfigurationRecord::json).orElse(empty);
    return new WriteFailure.Conflict(current, FieldDifference.between(yours, theirs));
  }
}
