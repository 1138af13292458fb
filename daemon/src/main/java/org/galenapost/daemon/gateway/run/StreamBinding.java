package org.galenapost.daemon.gateway.run;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.dispatch.ServerConstraint;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.origin.StreamOrigins;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Binds one stream to the software version whose server sent its first event, since what two
 * versions write does not fit together. An attempt that brought no event binds nothing.
 */
final class StreamBinding {

  private final GatewayContext context;
  private final AcceptedCall call;
  private Optional<String> softwareVersion;
  private boolean isRecorded;

  /** Creates the binding of a call, which is bound from the start if it resumes a stream. */
  StreamBinding(GatewayContext context, AcceptedCall call) {
    this.context = context;
    this.call = call;
    this.softwareVersion = call.origin().map(StreamOrigin::softwareVersion);
  }

  /** Returns where the stream began, if it has begun and that is known. */
  Optional<StreamOrigin> origin() {
    return softwareVersion.map(version -> new StreamOrigin(call.service().name(), version));
  }

  /**
   * Finds out where the stream began that another daemon has served.
   *
   * @param onResult receives whether the stream can go on; at once if the version is known
   */
  void find(Consumer<Boolean> onResult) {
    if (softwareVersion.isPresent()) {
      onResult.accept(true);
      return;
    }
    context
        .origins()
        .find(
            streamId(),
            result -> {
              softwareVersion = result.origin().map(StreamOrigin::softwareVersion);
              onResult.accept(softwareVersion.isPresent());
            });
  }

  private String streamId() {
    return call.head().resumedStreamId().orElse(call.head().id());
  }

  /** Returns which servers may run the next attempt. */
  ServerConstraint constraint(Set<InstanceKey> excluded) {
    return new ServerConstraint(excluded, requiredVersion(), Set.of());
  }

  /** Returns a refusal if no server is left that may go on with the stream. */
  Optional<Refusal> refusal() {
    return requiredVersion()
        .filter(version -> !context.directory().hasServer(call.service().name(), version))
        .map(
            version ->
                Refusal.notRun(
                    RefusalReason.STREAM_VERSION_UNAVAILABLE,
                    "no server of " + call.service().name() + " runs version '" + version + "'"));
  }

  /** Returns the version of the next server; empty if the service has run no other one lately. */
  private Optional<String> requiredVersion() {
    return softwareVersion.filter(
        version -> !call.versionsOfService(context.directory()).equals(Set.of(version)));
  }

  /** Binds the stream to the server that sent its first events, and records where it began. */
  void onEvents(ServerInstance server) {
    if (isRecorded) {
      return;
    }
    isRecorded = true;
    if (softwareVersion.isEmpty()) {
      softwareVersion = Optional.of(versionOf(server));
    }
    boolean isResumable = call.route().isResumable() && StreamOrigins.isNameable(streamId());
    if (isResumable && !softwareVersion.get().isEmpty()) {
      Duration remaining = call.remaining(context.clock());
      StreamOrigin origin = new StreamOrigin(call.service().name(), softwareVersion.get());
      context.origins().record(streamId(), origin, remaining);
      context.originRecords().begin(streamId(), origin, remaining);
    }
  }

  /** Forgets the stream, which is complete. */
  void onComplete() {
    context.originRecords().end(streamId());
  }

  /** Returns the announced version, or an empty text if one with another may have answered. */
  private String versionOf(ServerInstance server) {
    boolean isCertain =
        !context.health().mayHaveRestarted(server.key())
            || call.versionsOfService(context.directory()).size() == 1;
    return isCertain ? server.softwareVersion() : "";
  }
}
