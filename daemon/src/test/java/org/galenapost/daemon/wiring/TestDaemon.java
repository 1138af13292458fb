package org.galenapost.daemon.wiring;

import static org.awaitility.Awaitility.await;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.admission.AdmissionCallback;
import org.galenapost.core.admission.AdmissionPermit;
import org.galenapost.core.admission.AdmissionRequest;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.retry.FailedAttempt;
import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.Route;
import org.galenapost.core.routing.RouteRequest;
import org.galenapost.core.time.Scheduler.Cancellable;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.settings.Settings;

/** A daemon on the loopback interface with fakes for the platform, the load parts and engines. */
final class TestDaemon implements AutoCloseable {

  static final String OPERATOR_TOKEN = "operator-token-1234";

  static final int MAX_CONNECTIONS = 200;

  private static final String SETTINGS =
      """
      daemon: {id: d1, data_centre: dc1}
      caller: {ip: 127.0.0.1, port: 0%s}
      operator: {ip: 127.0.0.1, port: 0, token: operator-token-1234}
      peer: {ip: 127.0.0.1, port: 0, secret: peer-secret-123456}
      platform: {address: "127.0.0.1:7000"}
      resume: {keys: [{id: 7, secret: "0123456789abcdef0123456789abcdef"}]}
      limits:
        max_connections: 200
        max_body_bytes: 65536
        max_header_bytes: 4096
        stream_buffer_bytes: 16384
      timings: {%s}
      """;

  final FakeConfiguration configuration = new FakeConfiguration();
  final FakeGenerationService generations = new FakeGenerationService();
  final Daemon daemon;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private TestDaemon(String callerSettings, String timings, ActionGate gate) {
    DaemonContext context = DaemonContext.of(settings(callerSettings, timings));
    AgreementParts agreement =
        new AgreementParts(configuration, gate, new EmptyPeerBus(), () -> 0, List::of, List.of());
    LoadParts load =
        new LoadParts(
            this::route,
            TestDaemon::admit,
            new FakeRetryBudget(),
            configuration::isReady,
            List.of());
    daemon =
        DaemonBuilder.assemble(
            context,
            Mechanisms.standard(),
            agreement,
            load,
            new GenerationParts(generations, List.of()));
    daemon.start();
  }

  static TestDaemon start() {
    return start("drain_notice_ms: 100");
  }

  static TestDaemon start(String timings) {
    return new TestDaemon("", timings, refusingGate());
  }

  static TestDaemon startWithGate(ActionGate gate) {
    return new TestDaemon("", "drain_notice_ms: 100", gate);
  }

  static TestDaemon startWithTls(String tls) {
    return new TestDaemon(", tls: {" + tls + "}", "drain_notice_ms: 100", refusingGate());
  }

  HttpRequest.Builder callerRequest(String path) {
    return request(daemon.callerPort(), path)
        .header("Authorization", "Bearer " + FakeConfiguration.WORKSPACE_KEY);
  }

  HttpRequest.Builder operatorRequest(String path) {
    return request(daemon.operatorPort(), path).header("Authorization", "Bearer " + OPERATOR_TOKEN);
  }

  HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(Duration.ofSeconds(20));
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> sendCompletion(String body) {
    return sendAsync(
        callerRequest("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  FakeGenerationService.StartedGeneration awaitGeneration(int index) {
    await().until(() -> generations.started.size() > index);
    return generations.started.get(index);
  }

  String metrics() {
    return send(request(daemon.operatorPort(), "/metrics")).body();
  }

  @Override
  public void close() {
    daemon.stop();
  }

  private Either<Refusal, Route> route(RouteRequest request) {
    Optional<BackendServer> server =
        configuration.servers.stream()
            .filter(candidate -> candidate.service().equals(Optional.of(request.target())))
            .filter(candidate -> !request.excludedServerIds().contains(candidate.id()))
            .findFirst();
    return server
        .<Either<Refusal, Route>>map(found -> Either.right(new FakeRoute(found)))
        .orElseGet(() -> Either.left(Refusal.notRun(RefusalReason.NO_SERVER, "no server is left")));
  }

  private static Cancellable admit(AdmissionRequest request, AdmissionCallback callback) {
    callback.onAdmitted(new NoOpPermit());
    return () -> {};
  }

  private static ActionGate refusingGate() {
    return identity ->
        CompletableFuture.completedFuture(
            Either.left(
                Refusal.notRun(RefusalReason.PLATFORM_UNAVAILABLE, "down")
                    .withRetryAfter(Duration.ofMillis(1500))));
  }

  private static Settings settings(String callerSettings, String timings) {
    try {
      Path file = Files.createTempFile("settings", ".yaml");
      Files.writeString(file, SETTINGS.formatted(callerSettings, timings));
      Settings settings = Settings.read(file).getOrElseThrow(f -> new AssertionError(f.toString()));
      Files.delete(file);
      return settings;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final class FakeRetryBudget implements RetryBudget {
    @Override
    public void onFirstAttempt(String workspace) {}

    @Override
    public Either<Refusal, Duration> retry(FailedAttempt attempt) {
      boolean isAllowed = attempt.verdict() == Verdict.NOT_RUN || attempt.isIdempotent();
      return isAllowed && attempt.number() < 3
          ? Either.right(Duration.ofMillis(1))
          : Either.left(
              new Refusal(attempt.verdict(), RefusalReason.SERVER_LOST, "lost", Optional.empty()));
    }
  }

  private static final class NoOpPermit implements AdmissionPermit {
    @Override
    public Duration waited() {
      return Duration.ZERO;
    }

    @Override
    public void recordFirstAnswer(Duration latency) {}

    @Override
    public void finished(int tokens) {}

    @Override
    public void abandoned(int tokens) {}
  }

  private static final class EmptyPeerBus implements PeerBus {
    @Override
    public Set<String> livePeerIds() {
      return Set.of();
    }

    @Override
    public void send(String daemonId, PeerMessage message) {}

    @Override
    public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {}
  }
}
