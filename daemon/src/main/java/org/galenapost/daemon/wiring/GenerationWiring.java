package org.galenapost.daemon.wiring;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.galenapost.core.directory.GenerationDirectory;
import org.galenapost.core.directory.RunningGenerations;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.generation.HandleKeys;
import org.galenapost.core.generation.ResumeHandleCodec;
import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.quarantine.Quarantine;
import org.galenapost.core.recovery.ResumePacer;
import org.galenapost.daemon.caller.RequestIds;
import org.galenapost.daemon.engine.EngineClient;
import org.galenapost.daemon.engine.HttpEngineClient;
import org.galenapost.daemon.generation.Continuation;
import org.galenapost.daemon.generation.EventLoopStallGuard;
import org.galenapost.daemon.generation.GenerationContext;
import org.galenapost.daemon.generation.GenerationMechanisms;
import org.galenapost.daemon.generation.GenerationMetrics;
import org.galenapost.daemon.generation.StreamingGenerationService;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.ResumeSettings;

/** Creates the generation service with its quarantine and its generation directory. */
final class GenerationWiring {

  /** How long an engine keeps a generation without a reader. */
  private static final Duration DETACHED_RETENTION = Duration.ofSeconds(30);

  /** The query is repeated because a daemon does not know all its peers when it starts. */
  private static final List<Duration> QUARANTINE_QUERY_DELAYS =
      List.of(Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(20));

  private final DaemonContext context;
  private final AgreementParts agreement;
  private final LoadParts load;

  private GenerationWiring(DaemonContext context, AgreementParts agreement, LoadParts load) {
    this.context = context;
    this.agreement = agreement;
    this.load = load;
  }

  static GenerationParts create(
      DaemonContext context, Mechanisms mechanisms, AgreementParts agreement, LoadParts load) {
    return new GenerationWiring(context, agreement, load).create(mechanisms);
  }

  private GenerationParts create(Mechanisms mechanisms) {
    EventLoopStallGuard stallGuard =
        new EventLoopStallGuard(context.eventLoops().group(), context.clock());
    Quarantine quarantine = new Quarantine(agreement.peers(), context.time(), context.clock());
    GenerationDirectory directory =
        new GenerationDirectory(
            context.settings().daemon().id(),
            agreement.peers(),
            context.scheduler(),
            context.clock());
    GenerationMechanisms standard =
        new GenerationMechanisms(
            LossSettings.defaults(),
            stallGuard,
            quarantine,
            new ResumePacer(ResumePacer.DEFAULT_PREFILLS_PER_SERVER),
            Continuation.FROM_ACCEPTED);
    GenerationMechanisms generationMechanisms =
        mechanisms.choose(GenerationMechanisms.class, standard, context);
    GenerationService service =
        new StreamingGenerationService(createContext(mechanisms, generationMechanisms, directory));
    addGauges(stallGuard, quarantine, generationMechanisms);
    return new GenerationParts(
        mechanisms.choose(GenerationService.class, service, context),
        List.of(stallGuard, createPeerService(quarantine, directory)));
  }

  private GenerationContext createContext(
      Mechanisms mechanisms,
      GenerationMechanisms generationMechanisms,
      RunningGenerations directory) {
    EngineClient engines =
        mechanisms.choose(EngineClient.class, new HttpEngineClient(context.clients()), context);
    RunningGenerations runningGenerations =
        mechanisms.choose(RunningGenerations.class, directory, context);
    return new GenerationContext(
        engines,
        load.router(),
        this::findServer,
        new RetryBudgetAllowance(load.retries(), context.clock()),
        createResumeHandleCodec(),
        runningGenerations,
        generationMechanisms,
        new GenerationMetrics(context.metrics().registry()),
        RequestIds::newGenerationId,
        DETACHED_RETENTION,
        context.clock(),
        context.time(),
        context.scheduler(),
        context.random());
  }

  private Optional<BackendServer> findServer(String id) {
    return agreement.configuration().servers().stream()
        .filter(server -> server.id().equals(id))
        .findFirst();
  }

  private ResumeHandleCodec createResumeHandleCodec() {
    ResumeSettings settings = context.settings().resume();
    Map<String, HandleKeys.HandleKey> keys =
        settings.keys().stream()
            .collect(
                Collectors.toMap(
                    key -> Integer.toString(key.id()),
                    key -> HandleKeys.HandleKey.ofText(key.secret())));
    HandleKeys handleKeys = new HandleKeys(Integer.toString(settings.keys().get(0).id()), keys);
    return new ResumeHandleCodec(handleKeys, settings.handleTtl(), context.time());
  }

  private void addGauges(
      EventLoopStallGuard stallGuard,
      Quarantine quarantine,
      GenerationMechanisms generationMechanisms) {
    context.metrics().registerGauge("galenapost.loop.stalls", stallGuard::stallCount);
    context.metrics().registerGauge("galenapost.quarantine.suspects", quarantine::suspectCount);
    context
        .metrics()
        .registerGauge(
            "galenapost.generation.waiting.resumes", generationMechanisms.pacer()::waitingResumes);
  }

  private Service createPeerService(Quarantine quarantine, GenerationDirectory directory) {
    return Service.of(
        "generation-peers",
        () -> {
          directory.start();
          quarantine.start();
          QUARANTINE_QUERY_DELAYS.forEach(
              delay -> context.scheduler().schedule(delay, quarantine::queryPeers));
        },
        () -> {});
  }
}
