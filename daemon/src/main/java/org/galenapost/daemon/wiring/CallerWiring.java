package org.galenapost.daemon.wiring;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.daemon.caller.CallerPipeline;
import org.galenapost.daemon.caller.Exchanges;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.caller.answer.GenerationRelay;
import org.galenapost.daemon.caller.filter.AdmitFilter;
import org.galenapost.daemon.caller.filter.AuthenticateFilter;
import org.galenapost.daemon.caller.filter.GenerationTargetReader;
import org.galenapost.daemon.caller.filter.IdempotencyKeyFilter;
import org.galenapost.daemon.caller.filter.ProfileFilter;
import org.galenapost.daemon.caller.filter.RecordFilter;
import org.galenapost.daemon.caller.filter.RelayFilter;
import org.galenapost.daemon.caller.filter.ShutdownFilter;
import org.galenapost.daemon.caller.filter.TargetFilter;
import org.galenapost.daemon.caller.filter.WorkspaceLimitFilter;
import org.galenapost.daemon.explain.TraceStore;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.http.HttpPipeline;
import org.galenapost.daemon.http.ListenerOptions;
import org.galenapost.daemon.http.PipelineSetup;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.relay.ServiceRelay;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.LimitSettings;
import org.galenapost.daemon.settings.Settings;
import org.galenapost.daemon.settings.TimingSettings;
import org.galenapost.daemon.tls.ReloadingTls;

/** Composes the caller port. */
final class CallerWiring {

  private final DaemonContext context;
  private final AgreementParts agreement;
  private final LoadParts load;
  private final GenerationParts generation;
  private final DaemonState state;

  CallerWiring(
      DaemonContext context,
      AgreementParts agreement,
      LoadParts load,
      GenerationParts generation,
      DaemonState state) {
    this.context = context;
    this.agreement = agreement;
    this.load = load;
    this.generation = generation;
    this.state = state;
  }

  CallerParts create() {
    Settings settings = context.settings();
    Exchanges exchanges = new Exchanges();
    TraceStore traces = new TraceStore(settings.limits().explainRequests());
    Optional<ReloadingTls> tls =
        settings.caller().tls().map(files -> new ReloadingTls(files, context.scheduler()));
    HttpListener listener =
        new HttpListener(
            "caller",
            settings.caller().address().toSocketAddress(),
            context.eventLoops().group(),
            settings.limits().streamBufferBytes(),
            createPipeline(tls, createFilterChain(exchanges, traces)));
    List<Service> services = new ArrayList<>(tls.stream().toList());
    services.add(listener);
    return new CallerParts(listener, exchanges, traces, services);
  }

  private PipelineSetup createPipeline(Optional<ReloadingTls> tls, FilterChain chain) {
    HttpPipeline http =
        new HttpPipeline(
            listenerOptions(context.settings()), () -> context.metrics().recordRefusedConnection("caller"));
    return http.connectionLimit()
        .then(tls.map(ReloadingTls::pipelineSetup).orElse(plain -> {}))
        .then(http)
        .then(
            CallerPipeline.serving(
                chain, context.clock(), context.time(), state, context.metrics()::recordRefusal));
  }

  private FilterChain createFilterChain(Exchanges exchanges, TraceStore traces) {
    int maxTokens = context.settings().limits().maxTokens();
    return FilterChain.of(
        List.of(
            new RecordFilter(exchanges, traces, context.metrics(), context.clock()),
            new ShutdownFilter(state),
            new AuthenticateFilter(agreement.configuration()),
            new IdempotencyKeyFilter(),
            new ProfileFilter(agreement.configuration()),
            new TargetFilter(new GenerationTargetReader(context.random(), maxTokens)),
            new WorkspaceLimitFilter(),
            new AdmitFilter(load.admission(), context.clock()),
            new RelayFilter(createGenerationRelay(), createServiceRelay())));
  }

  private GenerationRelay createGenerationRelay() {
    Settings settings = context.settings();
    return new GenerationRelay(
        generation.generations(), context.scheduler(), settings.limits(), settings.timings());
  }

  private ServiceRelay createServiceRelay() {
    return new ServiceRelay(
        agreement.actions(),
        load.router(),
        load.retries(),
        context.clients(),
        context.clock(),
        context.scheduler(),
        context.settings().limits().maxAnswerBytes(),
        context.pendingWork());
  }

  private static ListenerOptions listenerOptions(Settings settings) {
    LimitSettings limits = settings.limits();
    TimingSettings timings = settings.timings();
    return new ListenerOptions(
        limits.maxConnections(),
        limits.maxHeaderBytes(),
        limits.maxBodyBytes(),
        timings.idleTimeout(),
        timings.bodyTimeout(),
        timings.slowReaderTimeout());
  }
}
