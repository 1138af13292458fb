package org.galenapost.core.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.ConfigurationWriter;
import org.galenapost.core.configuration.WriteFailure;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.json.Json;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Drains backend servers and returns them to service. An order is broadcast to every daemon first,
 * so that a slow or unavailable platform does not delay it. It is then written to the platform as a
 * conditional update of the version that it is based on. Every daemon that holds an order retries
 * the write, and the condition lets only one of them succeed.
 */
public final class DrainControl {

  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_CONFLICT_RETRIES = 4;
  private static final String STATE_FIELD = "state";

  private final String ownId;
  private final ConfigurationHolder configuration;
  private final ConfigurationWriter writer;
  private final DrainOrders orders;
  private final DrainNoticeSender spread;
  private final Scheduler scheduler;
  private final RandomSource random;
  private final InstantSource wallClock;
  private volatile boolean isRunning;

  /**
   * Creates the drain control of one daemon.
   *
   * @param ownId the id of this daemon
   * @param configuration the configuration in force
   * @param writer writes configuration objects
   * @param orders the orders in force
   * @param spread sends orders to other daemons
   * @param scheduler schedules the retries
   * @param random adds jitter to the retries and selects the order to write
   * @param wallClock the time of day, which decides between orders based on the same version
   */
  public DrainControl(
      String ownId,
      ConfigurationHolder configuration,
      ConfigurationWriter writer,
      DrainOrders orders,
      DrainNoticeSender spread,
      Scheduler scheduler,
      RandomSource random,
      InstantSource wallClock) {
    this.ownId = Objects.requireNonNull(ownId, "ownId");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.writer = Objects.requireNonNull(writer, "writer");
    this.orders = Objects.requireNonNull(orders, "orders");
    this.spread = Objects.requireNonNull(spread, "spread");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.random = Objects.requireNonNull(random, "random");
    this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
  }

  /** Starts to send the orders in force to other daemons and to retry their writes. */
  public void start() {
    isRunning = true;
    scheduleNext();
  }

  /** Stops the retries. */
  public void stop() {
    isRunning = false;
  }

  /** Applies the orders of another daemon. */
  public void applyNotice(DrainNotice notice) {
    notice.orders().forEach(orders::merge);
  }

  /** Changes the state of a backend server. */
  public CompletionStage<DrainOutcome> changeState(String serverId, ServerState state) {
    Optional<ConfigurationRecord> found = configuration.find(ConfigurationKind.SERVER, serverId);
    if (found.isEmpty()) {
      return CompletableFuture.completedFuture(new DrainOutcome.UnknownServer());
    }
    return issueOrder(found.get(), state, MAX_CONFLICT_RETRIES);
  }

  private CompletionStage<DrainOutcome> issueOrder(
      ConfigurationRecord base, ServerState state, int conflictRetriesLeft) {
    DrainOrder order =
        new DrainOrder(base.name(), state, base.version(), wallClock.millis(), ownId);
    orders.merge(order);
    spread.sendToAll(new DrainNotice(List.of(order)));
    return write(base, state)
        .thenCompose(
            result ->
                result.isRight()
                    ? completed(new DrainOutcome.Accepted(result.get()))
                    : handleFailure(order, result.getLeft(), conflictRetriesLeft));
  }

  private CompletionStage<DrainOutcome> handleFailure(
      DrainOrder order, WriteFailure failure, int conflictRetriesLeft) {
    if (failure instanceof WriteFailure.Conflict conflict && conflict.current().isPresent()) {
      ConfigurationRecord current = conflict.current().get();
      configuration.merge(current);
      return conflictRetriesLeft > 0
          ? issueOrder(current, order.state(), conflictRetriesLeft - 1)
          : completed(new DrainOutcome.Refused(failure));
    }
    boolean isPending =
        failure instanceof WriteFailure.Unavailable
            || failure instanceof WriteFailure.OutcomeUnknown;
    return completed(
        isPending ? new DrainOutcome.PendingWrite(order) : new DrainOutcome.Refused(failure));
  }

  private CompletionStage<Either<WriteFailure, ConfigurationRecord>> write(
      ConfigurationRecord base, ServerState state) {
    String json = withState(base.json().orElse("{}"), state);
    return writer.write(ConfigurationKind.SERVER, base.name(), base.version(), json);
  }

  private static String withState(String json, ServerState state) {
    JsonNode document =
        Json.read(json, JsonNode.class).getOrElse(() -> Json.newMapper().nullNode());
    if (document instanceof ObjectNode object) {
      object.put(STATE_FIELD, state.name().toLowerCase(Locale.ROOT));
    }
    return document.toString();
  }

  private void scheduleNext() {
    scheduler.schedule(random.jitter(RETRY_INTERVAL), this::retryOrders);
  }

  private void retryOrders() {
    if (!isRunning) {
      return;
    }
    List<DrainOrder> inForce = orders.inForce();
    if (!inForce.isEmpty()) {
      spread.sendToOne(new DrainNotice(inForce));
      writeOne(inForce.get(random.nextIndex(inForce.size())));
    }
    scheduleNext();
  }

  /**
   * Writes one order in force. A conflict returns the newer version, which makes the order
   * obsolete.
   */
  private void writeOne(DrainOrder order) {
    configuration
        .find(ConfigurationKind.SERVER, order.serverId())
        .filter(base -> base.version() == order.baseVersion())
        .ifPresent(base -> write(base, order.state()).thenAccept(this::mergeNewerVersion));
  }

  private void mergeNewerVersion(Either<WriteFailure, ConfigurationRecord> result) {
    if (result.isLeft() && result.getLeft() instanceof WriteFailure.Conflict conflict) {
      conflict.current().ifPresent(configuration::merge);
    }
  }

  private static CompletionStage<DrainOutcome> completed(DrainOutcome outcome) {
    return CompletableFuture.completedFuture(outcome);
  }
}
