package org.galenapost.core.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;

/** An in-memory object store with scripted faults. Calls complete synchronously. */
public final class FakePlatform {

  private final Map<String, VersionedObject> objects = new TreeMap<>();
  private final List<ObjectKey> deletedKeys = new ArrayList<>();
  private final List<Long> deletedVersions = new ArrayList<>();
  private final List<Runnable> pendingWatches = new ArrayList<>();
  private final List<Runnable> watchEnds = new ArrayList<>();
  private long version;
  private int writes;

  /** Returns the number of writes that took effect. */
  public int writes() {
    return writes;
  }

  /** Returns the current value of an object. */
  public Optional<VersionedObject> read(ObjectKey key) {
    return Optional.ofNullable(objects.get(path(key)));
  }

  /** Returns a client with its own scripted faults. */
  public Client newClient() {
    return new Client();
  }

  private static String path(ObjectKey key) {
    return key.kind() + "/" + key.name();
  }

  private static <T> CompletionStage<Either<PlatformError, T>> completed(
      Either<PlatformError, T> e) {
    return CompletableFuture.completedFuture(e);
  }

  private void notifyWatches() {
    List<Runnable> notified = List.copyOf(pendingWatches);
    pendingWatches.clear();
    notified.forEach(Runnable::run);
  }

  /** Ends the waiting watches without a change, as their longest wait does. */
  public void endWatches() {
    List<Runnable> ended = List.copyOf(watchEnds);
    watchEnds.clear();
    pendingWatches.clear();
    ended.forEach(Runnable::run);
  }

  /** The fault of one write. */
  public enum Fault {
    NONE,
    REFUSED,
    ANSWER_LOST,
    LOST_BEFORE_EFFECT
  }

  /** The platform client of one daemon. */
  public final class Client implements ObjectStore {

    private final Deque<Fault> nextWriteFaults = new ArrayDeque<>();
    private boolean isDown;
    private int watches;
    private Runnable beforeNextWrite = () -> {};

    /** Returns the number of watches started. */
    public int watches() {
      return watches;
    }

    /** Starts or ends an outage, in which every call is rejected. */
    public void setDown(boolean down) {
      isDown = down;
    }

    /** Sets the faults of the next writes, in order. */
    public void faultNextWrites(Fault... faults) {
      nextWriteFaults.addAll(List.of(faults));
    }

    /** Ends an outage and discards the remaining faults. */
    public void heal() {
      isDown = false;
      nextWriteFaults.clear();
    }

    /** Runs the action just before the next write reaches the platform. */
    public void beforeNextWrite(Runnable action) {
      beforeNextWrite = action;
    }

    @Override
    public CompletionStage<Either<PlatformError, VersionedObject>> get(ObjectKey key) {
      if (isDown) {
        return completed(Either.left(new PlatformError.Unavailable("outage")));
      }
      VersionedObject found = objects.get(path(key));
      return completed(
          found == null ? Either.left(new PlatformError.NotFound(key)) : Either.right(found));
    }

    @Override
    public CompletionStage<Either<PlatformError, Listing>> list(String kind) {
      if (isDown) {
        return completed(Either.left(new PlatformError.Unavailable("outage")));
      }
      return completed(Either.right(new Listing(version, ofKind(kind))));
    }

    @Override
    public CompletionStage<Either<PlatformError, VersionedObject>> put(
        ObjectKey key, long expectedVersion, String json) {
      return write(
          () -> {
            Optional<PlatformError> conflict = conflict(key, expectedVersion);
            if (conflict.isPresent()) {
              return Either.left(conflict.get());
            }
            VersionedObject written = new VersionedObject(key, ++version, json);
            objects.put(path(key), written);
            writes++;
            notifyWatches();
            return Either.right(written);
          });
    }

    @Override
    public CompletionStage<Either<PlatformError, VersionedObject>> putStatus(
        ObjectKey key, long expectedVersion, String json) {
      VersionedObject held = objects.get(path(key));
      if (held == null) {
        return completed(Either.left(new PlatformError.Conflict(key, Optional.empty())));
      }
      ObjectNode document = (ObjectNode) Json.read(held.json(), JsonNode.class).get();
      document.set("status", Json.read(json, JsonNode.class).get());
      return put(key, expectedVersion, document.toString());
    }

    @Override
    public CompletionStage<Either<PlatformError, Long>> delete(
        ObjectKey key, long expectedVersion) {
      return write(
          () -> {
            if (!objects.containsKey(path(key))) {
              return Either.left(new PlatformError.NotFound(key));
            }
            Optional<PlatformError> conflict = conflict(key, expectedVersion);
            if (conflict.isPresent()) {
              return Either.left(conflict.get());
            }
            objects.remove(path(key));
            deletedKeys.add(key);
            deletedVersions.add(++version);
            notifyWatches();
            return Either.right(version);
          });
    }

    @Override
    public CompletionStage<Either<PlatformError, Changes>> watch(
        String kind, long sinceRevision, Duration maxWait) {
      watches++;
      if (isDown) {
        return completed(Either.left(new PlatformError.Unavailable("outage")));
      }
      Changes changes = changesSince(kind, sinceRevision);
      if (!changes.updated().isEmpty() || !changes.deleted().isEmpty()) {
        return completed(Either.right(changes));
      }
      CompletableFuture<Either<PlatformError, Changes>> answer = new CompletableFuture<>();
      waitForChange(kind, sinceRevision, answer);
      watchEnds.add(
          () -> answer.complete(Either.right(new Changes(version, List.of(), List.of(), false))));
      return answer;
    }

    private void waitForChange(
        String kind, long since, CompletableFuture<Either<PlatformError, Changes>> answer) {
      pendingWatches.add(
          () -> {
            Changes changes = changesSince(kind, since);
            if (isDown) {
              answer.complete(Either.left(new PlatformError.AnswerLost("cut")));
            } else if (changes.updated().isEmpty() && changes.deleted().isEmpty()) {
              waitForChange(kind, since, answer);
            } else {
              answer.complete(Either.right(changes));
            }
          });
    }

    private Changes changesSince(String kind, long since) {
      List<ObjectKey> deleted = new ArrayList<>();
      for (int i = 0; i < deletedKeys.size(); i++) {
        ObjectKey key = deletedKeys.get(i);
        boolean isGone = !objects.containsKey(path(key));
        if (deletedVersions.get(i) > since && key.kind().equals(kind) && isGone) {
          deleted.add(key);
        }
      }
      List<VersionedObject> updated =
          ofKind(kind).stream().filter(object -> object.version() > since).toList();
      return new Changes(version, updated, deleted, false);
    }

    private List<VersionedObject> ofKind(String kind) {
      return objects.values().stream().filter(o -> o.key().kind().equals(kind)).toList();
    }

    private Optional<PlatformError> conflict(ObjectKey key, long expectedVersion) {
      VersionedObject current = objects.get(path(key));
      long currentVersion = current == null ? ABSENT : current.version();
      return currentVersion == expectedVersion
          ? Optional.empty()
          : Optional.of(new PlatformError.Conflict(key, Optional.ofNullable(current)));
    }

    private <T> CompletionStage<Either<PlatformError, T>> write(
        Supplier<Either<PlatformError, T>> effect) {
      Fault fault = nextWriteFaults.isEmpty() ? Fault.NONE : nextWriteFaults.poll();
      if (isDown || fault == Fault.REFUSED) {
        return completed(Either.left(new PlatformError.Unavailable("outage")));
      }
      if (fault == Fault.LOST_BEFORE_EFFECT) {
        return completed(Either.left(new PlatformError.AnswerLost("connection closed")));
      }
      Runnable before = beforeNextWrite;
      beforeNextWrite = () -> {};
      before.run();
      Either<PlatformError, T> answer = effect.get();
      return fault == Fault.ANSWER_LOST
          ? completed(Either.left(new PlatformError.AnswerLost("connection closed")))
          : completed(answer);
    }
  }
}
