package org.galenapost.daemon.generation;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.galenapost.core.directory.GenerationDirectory;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.HandleKeys;
import org.galenapost.core.generation.ResumeHandleCodec;
import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.profile.RecoveryPolicy;
import org.galenapost.core.profile.RerunPolicy;
import org.galenapost.core.profile.Urgency;
import org.galenapost.core.quarantine.Quarantine;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.ResumePacer;
import org.galenapost.core.routing.Route;
import org.galenapost.core.routing.RouteRequest;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/** Daemons with fake engines and virtual time. */
final class GenerationFixture {

  static final HandleKeys KEYS = HandleKeys.single("k1", new HandleKeys.HandleKey(new byte[32]));

  final VirtualTime time = new VirtualTime();
  final FakeEngines engines = new FakeEngines();
  final List<String> serverIds = new ArrayList<>(List.of("s1", "s2", "s3"));
  final List<RouteRequest> routeRequests = new ArrayList<>();
  StallGuard stallGuard = StallGuard.NONE;
  Optional<RequestGuard> requestGuard = Optional.empty();
  int prefillsPerServer = ResumePacer.DEFAULT_PREFILLS_PER_SERVER;

  StreamingGenerationService daemon(String id, PeerBus peers) {
    GenerationDirectory directory = new GenerationDirectory(id, peers, time, time);
    directory.start();
    Quarantine quarantine = new Quarantine(peers, time::instant, time);
    quarantine.start();
    Random random = new Random(id.hashCode());
    return new StreamingGenerationService(
        new GenerationContext(
            engines,
            this::route,
            serverId -> Optional.of(FakeEngines.server(serverId)),
            workspace -> true,
            new ResumeHandleCodec(KEYS, Duration.ofMinutes(15), time::instant),
            directory,
            new GenerationMechanisms(
                LossSettings.defaults(),
                stallGuard,
                requestGuard.orElse(quarantine),
                new ResumePacer(prefillsPerServer),
                Continuation.FROM_ACCEPTED),
            GenerationObserver.NONE,
            () -> "g-new",
            Duration.ofSeconds(30),
            time,
            time::instant,
            time,
            random));
  }

  private Either<Refusal, Route> route(RouteRequest request) {
    routeRequests.add(request);
    return serverIds.stream()
        .filter(id -> !request.excludedServerIds().contains(id))
        .findFirst()
        .<Either<Refusal, Route>>map(id -> Either.right(new FakeRoute(FakeEngines.server(id))))
        .orElseGet(
            () ->
                Either.left(
                    Refusal.notRun(RefusalReason.NO_SERVER, "no server")
                        .withRetryAfter(Duration.ofSeconds(1))));
  }

  GenerationRequest request(String prompt, RecoveryPolicy recovery, boolean isKeyed) {
    return request(prompt, recovery, RerunPolicy.NEW_GENERATION, isKeyed);
  }

  GenerationRequest request(
      String prompt, RecoveryPolicy recovery, RerunPolicy rerun, boolean isKeyed) {
    Profile profile =
        new Profile("p", Urgency.NORMAL, true, Duration.ofMinutes(5), recovery, rerun);
    return new GenerationRequest(
        "g-" + prompt,
        "w1",
        profile,
        "m1",
        Optional.empty(),
        prompt,
        7,
        0.0,
        1.0,
        400,
        time.nanos() + profile.deadline().toNanos(),
        isKeyed);
  }

  static List<String> expectedTokens(long seed) {
    List<String> tokens = new ArrayList<>();
    for (int i = 0; i < FakeEngines.ANSWER_TOKENS; i++) {
      tokens.add(FakeEngines.token(seed, i));
    }
    return tokens;
  }

  private record FakeRoute(BackendServer server) implements Route {

    @Override
    public String explanation() {
      return "first";
    }

    @Override
    public void recordFirstAnswer(Duration latency) {}

    @Override
    public void succeeded() {}

    @Override
    public void failed() {}

    @Override
    public void cancelled() {}
  }
}
