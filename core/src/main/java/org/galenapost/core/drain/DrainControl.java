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
 * Takes backend servers out of service and back. The order goes to every daemon first, so that a
 * slow or absent platform does not hold it up; then it is written under the version on which it
 * rests. Each daemon that holds an order goes on trying to write it, and the conditional update
 * lets one of them succeed.
 */
public final class DrainControl {

  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final int MAX_CONFLICTS = 4;
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
   * Creates the control of one daemon.
   *
   * @param ownId this daemon
   * @param configuration the configuration in force
   * @param writer writes configuration objects
   * @param orders the orders in force
   * @param spread passes orders on
   * @param scheduler runs the repeated writes
   * @param random spreads them
   * @param wallClock orders two orders that rest on the same version
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

  /** Starts to pass on and write the orders in force. */
  public void start() {
    isRunning = true;
    scheduleNext();
  }

  /** Stops. */
  public void stop() {
    isRunning = false;
  }

  /** Takes the orders of another daemon. */
  public void applyNotice(DrainNotice notice) {
    notice.orders().forEach(orders::merge);
  }

  /** Gives a backend server another state. */
  public CompletionStage<DrainOutcome> changeState(String serverId, ServerState state) {
    Optional<ConfigurationRecord> found = configuration.find(ConfigurationKind.SERVER, serverId);
    if (found.isEmpty()) {
      return CompletableFuture.completedFuture(new DrainOutcome.UnknownServer());
    }
    return issue(found.get(), state, MAX_CONFLICTS);
  }

  private CompletionStage<DrainOutcome> issue(
      ConfigurationRecord base, ServerState state, int conflictsLeft) {
    DrainOrder order =
        new DrainOrder(base.name(), state, base.version(), wallClock.millis(), ownId);
    orders.merge(order);
    spread.sendToAll(new DrainNotice(List.of(order)));
    return write(base, state)
        .thenCompose(
            result ->
                result.isRight()
                    ? done(new DrainOutcome.Accepted(result.get()))
                    : resolve(order, result.getLeft(), conflictsLeft));
  }

  private CompletionStage<DrainOutcome> resolve(
      DrainOrder order, WriteFailure failure, int conflictsLeft) {
    if (failure instanceof WriteFailure.Conflict conflict && conflict.current().isPresent()) {
      ConfigurationRecord current = conflict.current().get();
      configuration.merge(current);
      return conflictsLeft > 0
          ? issue(current, order.state(), conflictsLeft - 1)
          : done(new DrainOutcome.Refused(failure));
    }
    boolean isOpen =
        failure instanceof WriteFailure.Unavailable
            || failure instanceof WriteFailure.OutcomeUnknown;
    return done(
        isOpen ? new DrainOutcome.PendingWrite(order) : new DrainOutcome.Refused(failure));
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
    scheduler.schedule(random.jitter(PERIOD), this::runPeriod);
  }

  private void runPeriod() {
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

  /** Writes one order in force; a conflict shows the newer version, which ends the order. */
  private void writeOne(DrainOrder order) {
    configuration
        .find(ConfigurationKind.SERVER, order.serverId())
        .filter(base -> base.version() == order.baseVersion())
        .ifPresent(base -> write(base, order.state()).thenAccept(this::takeNewer));
  }

  private void takeNewer(Either<WriteFailure, ConfigurationRecord> result) {
    if (result.isLeft() && result.getLeft() instanceof WriteFailure.Conflict conflict) {
      conflict.current().ifPresent(configuration::merge);
    }
  }

  private static CompletionStage<DrainOutcome> done(DrainOutcome outcome) {
    return CompletableFuture.completedFuture(outcome);
  }
}
