package org.galenapost.daemon.wiring;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.membership.MemberRecord;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.http.HttpPipeline;
import org.galenapost.daemon.http.ListenerOptions;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.operator.DaemonStatus;
import org.galenapost.daemon.operator.HealthRoutes;
import org.galenapost.daemon.operator.OperatorPipeline;
import org.galenapost.daemon.operator.StatusRoutes;
import org.galenapost.daemon.settings.DaemonSettings;
import org.galenapost.daemon.settings.OperatorSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;

/** Creates the operator listener, its routes and the gauges of the caller port. */
final class OperatorWiring {

  private static final int MAX_CONNECTIONS = 256;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int WRITE_BUFFER_BYTES = 64 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SLOW_READER_TIMEOUT = Duration.ofSeconds(10);

  private final DaemonContext context;
  private final AgreementParts agreement;
  private final DaemonState state;

  OperatorWiring(DaemonContext context, AgreementParts agreement, DaemonState state) {
    this.context = context;
    this.agreement = agreement;
    this.state = state;
  }

  HttpListener create(CallerParts caller) {
    HealthRoutes.addTo(context.routes(), state, context.metrics());
    Supplier<DaemonStatus> status = () -> daemonStatus(caller);
    StatusRoutes.addTo(context.routes(), status, caller.traces());
    addGauges(caller);
    OperatorSettings settings = context.settings().operator();
    HttpPipeline http =
        new HttpPipeline(
            listenerOptions(), () -> context.metrics().recordRefusedConnection("operator"));
    return new HttpListener(
        "operator",
        settings.address().toSocketAddress(),
        context.eventLoops().group(),
        WRITE_BUFFER_BYTES,
        http.connectionLimit()
            .then(http)
            .then(HttpPipeline.oneRequestAtATime())
            .then(OperatorPipeline.serving(context.routes(), settings.token())));
  }

  private void addGauges(CallerParts caller) {
    DaemonMetrics metrics = context.metrics();
    metrics.registerGauge("galenapost.requests.in.progress", () -> caller.exchanges().count());
    metrics.registerGauge(
        "galenapost.caller.connections", () -> caller.listener().connectionCount());
    metrics.registerGauge(
        "galenapost.configuration.revision", () -> agreement.configuration().revision());
  }

  private static ListenerOptions listenerOptions() {
    return new ListenerOptions(
        MAX_CONNECTIONS,
        MAX_HEADER_BYTES,
        MAX_BODY_BYTES,
        IDLE_TIMEOUT,
        BODY_TIMEOUT,
        SLOW_READER_TIMEOUT);
  }

  private DaemonStatus daemonStatus(CallerParts caller) {
    DaemonSettings daemon = context.settings().daemon();
    ConfigurationView configuration = agreement.configuration();
    List<DaemonStatus.ServerStatus> servers =
        configuration.servers().stream().map(OperatorWiring::serverStatus).toList();
    return new DaemonStatus(
        daemon.id(),
        daemon.dataCentre(),
        state.phase().wireName(),
        state.notReadyReason().isEmpty(),
        configuration.revision(),
        caller.exchanges().count(),
        caller.listener().connectionCount(),
        peerStatuses(),
        servers);
  }

  private List<DaemonStatus.PeerStatus> peerStatuses() {
    return agreement.members().get().stream()
        .sorted(Comparator.comparing(MemberRecord::id))
        .map(OperatorWiring::peerStatus)
        .toList();
  }

  private static DaemonStatus.PeerStatus peerStatus(MemberRecord member) {
    return new DaemonStatus.PeerStatus(
        member.id(),
        new SocketAddressSetting(member.ip(), member.port()).toString(),
        member.dataCentre(),
        member.status().name().toLowerCase(Locale.ROOT),
        member.incarnation());
  }

  private static DaemonStatus.ServerStatus serverStatus(BackendServer server) {
    return new DaemonStatus.ServerStatus(
        server.id(),
        new SocketAddressSetting(server.ip(), server.port()).toString(),
        server.kind().name().toLowerCase(Locale.ROOT),
        server.dataCentre(),
        server.state().name().toLowerCase(Locale.ROOT));
  }
}
