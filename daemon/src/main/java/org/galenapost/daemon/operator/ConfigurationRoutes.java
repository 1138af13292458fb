package org.galenapost.daemon.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.galenapost.core.configuration.ConfigurationHolder;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationWriter;
import org.galenapost.core.configuration.DaemonRevisions;
import org.galenapost.core.configuration.RevisionSurvey;

/** The routes that read and change configuration. */
public final class ConfigurationRoutes {

  private static final String KIND_PATH = "/v1/config/{kind}";
  private static final String OBJECT_PATH = "/v1/config/{kind}/{name}";
  private static final String EXPECTED_VERSION = "expected_version";

  private final ConfigurationHolder configuration;
  private final ConfigurationWriter writer;
  private final RevisionSurvey survey;

  private ConfigurationRoutes(
      ConfigurationHolder state, ConfigurationWriter writer, RevisionSurvey survey) {
    this.configuration = state;
    this.writer = writer;
    this.survey = survey;
  }

  /** Adds the routes. */
  public static void addTo(
      OperatorRoutes routes,
      ConfigurationHolder state,
      ConfigurationWriter writer,
      RevisionSurvey survey) {
    ConfigurationRoutes handlers = new ConfigurationRoutes(state, writer, survey);
    routes
        .add("GET", KIND_PATH, request -> handlers.withKind(request, handlers::list))
        .add(
            "GET",
            OBJECT_PATH,
            request -> handlers.withKind(request, k -> handlers.get(k, request)))
        .add(
            "PUT",
            OBJECT_PATH,
            request -> handlers.withKind(request, k -> handlers.put(k, request)))
        .add(
            "DELETE",
            OBJECT_PATH,
            request -> handlers.withKind(request, k -> handlers.delete(k, request)))
        .add("GET", "/v1/config-revisions", handlers::revisions);
  }

  private CompletionStage<OperatorResponse> withKind(
      OperatorRequest request,
      Function<ConfigurationKind, CompletionStage<OperatorResponse>> handler) {
    return ConfigurationKind.of(request.path("kind"))
        .map(handler)
        .orElseGet(() -> completed(OperatorResponse.notFound("There is no such kind of object.")));
  }

  private CompletionStage<OperatorResponse> list(ConfigurationKind kind) {
    List<ObjectDocument> items =
        configuration.objects(kind).stream()
            .map(ObjectDocument::of)
            .sorted(Comparator.comparing(ObjectDocument::name))
            .toList();
    return completed(OperatorResponse.ok(new ObjectList(configuration.completeRevision(kind), items)));
  }

  private CompletionStage<OperatorResponse> get(ConfigurationKind kind, OperatorRequest request) {
    String name = request.path("name");
    return completed(
        configuration
            .find(kind, name)
            .map(record -> OperatorResponse.ok(ObjectDocument.of(record)))
            .orElseGet(
                () -> OperatorResponse.notFound("No " + kind.wireName() + " '" + name + "'.")));
  }

  private CompletionStage<OperatorResponse> put(ConfigurationKind kind, OperatorRequest request) {
    return nonNegativeNumber(request, EXPECTED_VERSION)
        .map(expected -> writer.write(kind, request.path("name"), expected, request.body()))
        .map(result -> result.thenApply(WriteResponses::of))
        .orElseGet(ConfigurationRoutes::expectedVersionMissing);
  }

  private CompletionStage<OperatorResponse> delete(
      ConfigurationKind kind, OperatorRequest request) {
    return nonNegativeNumber(request, EXPECTED_VERSION)
        .map(expected -> writer.delete(kind, request.path("name"), expected))
        .map(result -> result.thenApply(WriteResponses::of))
        .orElseGet(ConfigurationRoutes::expectedVersionMissing);
  }

  private CompletionStage<OperatorResponse> revisions(OperatorRequest request) {
    Optional<ConfigurationKind> kind = request.query("kind").flatMap(ConfigurationKind::of);
    Optional<Long> version = nonNegativeNumber(request, "version");
    if (request.query("kind").isPresent() && (kind.isEmpty() || version.isEmpty())) {
      return completed(OperatorResponse.badRequest("expected kind, name and version, or none of them"));
    }
    return survey
        .query(
            kind.orElse(ConfigurationKind.PROFILE),
            request.query("name").orElse(""),
            version.orElse(0L))
        .thenApply(daemons -> OperatorResponse.ok(new RevisionList(daemons)));
  }

  private static Optional<Long> nonNegativeNumber(OperatorRequest request, String parameter) {
    try {
      return request.query(parameter).map(Long::parseLong).filter(value -> value >= 0);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static CompletionStage<OperatorResponse> expectedVersionMissing() {
    return completed(
        OperatorResponse.badRequest(
            "expected_version: expected the version last read, or 0 for a new object"));
  }

  private static CompletionStage<OperatorResponse> completed(OperatorResponse response) {
    return CompletableFuture.completedFuture(response);
  }

  /** All objects of a kind. */
  private record ObjectList(long revision, List<ObjectDocument> items) {}

  /** What each known daemon has in force. */
  private record RevisionList(List<DaemonRevisions> daemons) {}
}
