package org.galenapost.daemon.gateway.run;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.origin.OriginRecords;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.origin.StreamOrigins;
import org.galenapost.core.route.CallKind;
import org.galenapost.core.route.RouteTarget;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.log.EventLog;

/**
 * Finds out where a stream began when a caller resumes it, before the call is run. A stream whose
 * origin neither a daemon nor a record in the platform's store tells goes on only if its service is
 * known to have run a single version for longer than the stream can have existed.
 */
public final class StreamTakeUp {

  private static final EventLog LOG = EventLog.of(StreamTakeUp.class);

  private final GatewayContext context;

  /** Creates take-ups that ask the given directory of origins. */
  public StreamTakeUp(GatewayContext context) {
    this.context = context;
  }

  /**
   * Binds a call to the origin of the stream that it resumes. Other calls pass unchanged.
   *
   * @param call the call
   * @param services returns the service with a name, if it is configured
   * @param onResult receives the call to run or why it is refused, at once or after at most 400 ms
   */
  public void resolve(
      AcceptedCall call, ServiceLookup services, Consumer<Either<Refusal, AcceptedCall>> onResult) {
    boolean namesEarlierAttempt =
        call.head().resumeAfter().isPresent() || call.head().resumedStreamId().isPresent();
    boolean isTakeUp = call.route().kind() == CallKind.STREAM && namesEarlierAttempt;
    if (call.origin().isPresent()) {
      onResult.accept(Either.right(bind(call, services, call.origin().get(), "known")));
    } else if (!isTakeUp) {
      onResult.accept(Either.right(call));
    } else if (call.head().resumedStreamId().isPresent()) {
      context
          .origins()
          .find(
              call.head().resumedStreamId().get(),
              result -> onFound(call, services, result, onResult));
    } else {
      bindUnknown(call, services, false, onResult);
    }
  }

  private void onFound(
      AcceptedCall call,
      ServiceLookup services,
      StreamOrigins.Result result,
      Consumer<Either<Refusal, AcceptedCall>> onResult) {
    if (result.origin().isPresent()) {
      onResult.accept(Either.right(bind(call, services, result.origin().get(), "known")));
    } else {
      bindUnknown(call, services, result.isComplete(), onResult);
    }
  }

  private AcceptedCall bind(
      AcceptedCall call, ServiceLookup services, StreamOrigin origin, String outcome) {
    TargetService service = serviceOf(call, services, origin);
    logTakeUp(call, service, origin.softwareVersion(), outcome);
    return call.boundTo(service, new StreamOrigin(service.name(), origin.softwareVersion()));
  }

  /**
   * Binds a stream whose origin no daemon that replied knows.
   *
   * @param havePeersReplied whether every daemon that was asked has replied
   */
  private void bindUnknown(
      AcceptedCall call,
      ServiceLookup services,
      boolean havePeersReplied,
      Consumer<Either<Refusal, AcceptedCall>> onResult) {
    if (hasSingleVersion(call, havePeersReplied)) {
      onResult.accept(Either.right(goOnAtSingleVersion(call)));
      return;
    }
    context
        .originRecords()
        .refresh(() -> onResult.accept(bindWithRecords(call, services, havePeersReplied)));
  }

  private Either<Refusal, AcceptedCall> bindWithRecords(
      AcceptedCall call, ServiceLookup services, boolean havePeersReplied) {
    Optional<StreamOrigin> recorded =
        call.head().resumedStreamId().flatMap(context.origins()::known);
    if (recorded.isPresent()) {
      return Either.right(bind(call, services, recorded.get(), "recorded"));
    }
    if (hasSingleVersion(call, havePeersReplied)) {
      return Either.right(goOnAtSingleVersion(call));
    }
    Set<String> versions = call.versionsOfService(context.directory());
    logTakeUp(call, call.service(), String.join(",", versions), "unknown");
    Refusal refusal =
        Refusal.notRun(
            RefusalReason.STREAM_VERSION_UNAVAILABLE,
            "the version that began the stream is not known");
    boolean canReturnHelp = !havePeersReplied || !context.originRecords().hasRead();
    return Either.left(
        canReturnHelp ? refusal.withRetryAfter(untilRecordsAreWritten(call)) : refusal);
  }

  /** By then each daemon has recorded the streams that it has begun. */
  private Duration untilRecordsAreWritten(AcceptedCall call) {
    return context
        .returnDelay()
        .until(OriginRecords.WRITE_PERIOD, call.callerTimeLeft(context.clock()));
  }

  private boolean hasSingleVersion(AcceptedCall call, boolean havePeersReplied) {
    return context.originRecords().history().isCertain(havePeersReplied)
        && call.versionsOfService(context.directory()).size() <= 1;
  }

  private AcceptedCall goOnAtSingleVersion(AcceptedCall call) {
    Set<String> versions = call.versionsOfService(context.directory());
    logTakeUp(call, call.service(), versions.stream().findFirst().orElse(""), "only-version");
    return call;
  }

  /** Returns the service that began the stream while the route still leads there. */
  private static TargetService serviceOf(
      AcceptedCall call, ServiceLookup services, StreamOrigin origin) {
    boolean isTarget =
        call.route().targets().stream()
            .map(RouteTarget::service)
            .anyMatch(origin.service()::equals);
    return isTarget ? services.find(origin.service()).orElse(call.service()) : call.service();
  }

  private void logTakeUp(AcceptedCall call, TargetService service, String version, String outcome) {
    context.meters().recordTakeUp(outcome);
    LOG.info("stream_taken_up")
        .with("id", call.head().id())
        .with("route", call.route().name())
        .with("stream", call.head().resumedStreamId().orElse("-"))
        .with("after_event", call.head().resumeAfter().orElse(0))
        .with("service", service.name())
        .with("version", version)
        .with("outcome", outcome)
        .with("history_complete", context.originRecords().history().isComplete())
        .with("records_read", context.originRecords().hasRead())
        .with("elapsed_ms", context.clock().since(call.startNanos()).toMillis())
        .with("remaining_ms", call.remaining(context.clock()).toMillis())
        .write();
  }

  /** Looks up a configured service by name. */
  @FunctionalInterface
  public interface ServiceLookup {
    /** Returns the service, if it is configured. */
    Optional<TargetService> find(String name);
  }
}
