package org.galenapost.daemon.gateway;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.daemon.gateway.front.CallerFrontend;
import org.galenapost.daemon.http.ConnectionSlots;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.http.HttpPipeline;
import org.galenapost.daemon.http.ListenerOptions;
import org.galenapost.daemon.http.PipelineSetup;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.net.DescriptorLimit;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HeadBudget;
import org.galenapost.daemon.operator.HealthRoutes;
import org.galenapost.daemon.operator.OperatorPipeline;
import org.galenapost.daemon.operator.OperatorRoutes;
import org.galenapost.daemon.settings.GatewaySettings;

/** Creates the listeners of a gateway: for callers, operators and questions of readiness. */
final class GatewayListeners {

  private static final int WRITE_BUFFER_BYTES = 64 * 1024;
  private static final int MAX_ADMIN_CONNECTIONS = 64;
  private static final int MAX_ADMIN_HEADER_BYTES = 8 * 1024;
  private static final int MAX_ADMIN_BODY_BYTES = 64 * 1024;
  private static final Duration ADMIN_TIMEOUT = Duration.ofSeconds(30);

  private final GatewaySettings settings;
  private final EventLoops eventLoops;
  private final DaemonState state;
  private final DaemonMetrics metrics;
  private final HeadBudget heads;
  private final DescriptorLimit descriptors;

  GatewayListeners(
      GatewaySettings settings,
      EventLoops eventLoops,
      DaemonState state,
      DaemonMetrics metrics,
      HeadBudget heads,
      DescriptorLimit descriptors) {
    this.heads = heads;
    this.descriptors = descriptors;
    this.settings = settings;
    this.eventLoops = eventLoops;
    this.state = state;
    this.metrics = metrics;
  }

  HttpListener callers(CallerFrontend frontend, Optional<ServerSocketChannel> callerSocket) {
    return new HttpListener(
        "caller",
        settings.caller().address().toSocketAddress(),
        callerSocket,
        eventLoops.group(),
        WRITE_BUFFER_BYTES,
        frontend);
  }

  private HttpListener listener(String role, InetSocketAddress address, PipelineSetup pipeline) {
    return new HttpListener(role, address, eventLoops.group(), WRITE_BUFFER_BYTES, pipeline);
  }

  HttpListener operators(PlacementRoutes placement) {
    OperatorRoutes routes = new OperatorRoutes();
    HealthRoutes.addTo(routes, state, metrics);
    placement.addTo(routes);
    HttpPipeline http = adminPipeline("operator");
    return listener(
        "operator",
        settings.operator().address().toSocketAddress(),
        http.connectionLimit()
            .then(http)
            .then(HttpPipeline.oneRequestAtATime())
            .then(OperatorPipeline.serving(routes, settings.operator().token())));
  }

  HttpListener readiness() {
    HttpPipeline http = adminPipeline("readiness");
    String path = settings.readiness().path();
    return listener(
        "readiness",
        settings.readiness().address().toSocketAddress(),
        http.connectionLimit()
            .then(http)
            .then(HttpPipeline.oneRequestAtATime())
            .then(pipeline -> pipeline.addLast("ready", new ReadinessHandler(state, path))));
  }

  private HttpPipeline adminPipeline(String role) {
    int maxConnections = Math.min(MAX_ADMIN_CONNECTIONS, descriptors.maxAdminConnections());
    ListenerOptions options =
        new ListenerOptions(
            maxConnections,
            MAX_ADMIN_HEADER_BYTES,
            MAX_ADMIN_BODY_BYTES,
            ADMIN_TIMEOUT,
            ADMIN_TIMEOUT,
            ADMIN_TIMEOUT);
    ConnectionSlots slots =
        new ConnectionSlots(maxConnections, () -> metrics.recordRefusedConnection(role));
    return new HttpPipeline(options, slots, () -> heads);
  }
}
