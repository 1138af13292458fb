package org.galenapost.daemon.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.HostDirectory;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.daemon.platform.PlatformDocuments.ChangesDocument;
import org.galenapost.daemon.platform.PlatformDocuments.DeletionDocument;
import org.galenapost.daemon.platform.PlatformDocuments.HostsDocument;
import org.galenapost.daemon.platform.PlatformDocuments.ListDocument;
import org.galenapost.daemon.platform.PlatformDocuments.ObjectDocument;

/** The platform's object API and host list over HTTP. */
public final class HttpObjectStore implements ObjectStore, HostDirectory {

  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_PRECONDITION_FAILED = 412;
  private static final ObjectKey NO_KEY = new ObjectKey("", "");

  private final PlatformHttpClient client;
  private volatile HostList lastHosts;

  /** Creates a store over a client. */
  public HttpObjectStore(PlatformHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletionStage<Either<PlatformError, VersionedObject>> get(ObjectKey key) {
    return client
        .call(client.request("GET", path(key)))
        .thenApply(answer -> answer.flatMap(response -> readObject(key, response)));
  }

  @Override
  public CompletionStage<Either<PlatformError, Listing>> list(String kind) {
    return client
        .call(client.request("GET", kindPath(kind)))
        .thenApply(
            answer ->
                answer.flatMap(
                    response ->
                        read(NO_KEY, response, ListDocument.class).map(ListDocument::toListing)));
  }

  @Override
  public CompletionStage<Either<PlatformError, VersionedObject>> put(
      ObjectKey key, long expectedVersion, String json) {
    RequestBuilder request = client.jsonRequest("PUT", path(key), json);
    return client
        .call(withCondition(request, expectedVersion))
        .thenApply(answer -> answer.flatMap(response -> readObject(key, response)));
  }

  @Override
  public CompletionStage<Either<PlatformError, Long>> delete(ObjectKey key, long expectedVersion) {
    RequestBuilder request = client.request("DELETE", path(key));
    return client
        .call(withCondition(request, expectedVersion))
        .thenApply(
            answer ->
                answer.flatMap(
                    response ->
                        read(key, response, DeletionDocument.class)
                            .map(DeletionDocument::version)));
  }

  @Override
  public CompletionStage<Either<PlatformError, Changes>> watch(
      String kind, long sinceRevision, Duration maxWait) {
    String query =
        "?watch=true&since=" + Math.max(0, sinceRevision) + "&wait_ms=" + maxWait.toMillis();
    return client
        .longPollCall(client.request("GET", kindPath(kind) + query), maxWait)
        .thenApply(
            answer ->
                answer.flatMap(
                    response ->
                        read(NO_KEY, response, ChangesDocument.class)
                            .map(changes -> changes.toChanges(kind))));
  }

  @Override
  public CompletionStage<Either<PlatformError, HostList>> hosts() {
    Optional<HostList> known = Optional.ofNullable(lastHosts);
    RequestBuilder request = client.request("GET", "/v1/hosts");
    known.ifPresent(
        hosts -> request.setHeader(HttpHeaderNames.IF_NONE_MATCH, "\"" + hosts.revision() + "\""));
    return client
        .call(request)
        .thenApply(answer -> answer.flatMap(response -> readHosts(known, response)));
  }

  private Either<PlatformError, HostList> readHosts(Optional<HostList> known, Response response) {
    if (response.getStatusCode() == STATUS_NOT_MODIFIED && known.isPresent()) {
      return Either.right(known.get());
    }
    return read(NO_KEY, response, HostsDocument.class)
        .map(HostsDocument::toHostList)
        .peek(hosts -> lastHosts = hosts);
  }

  private static RequestBuilder withCondition(RequestBuilder request, long expectedVersion) {
    return expectedVersion == ABSENT
        ? request.setHeader(HttpHeaderNames.IF_NONE_MATCH, "*")
        : request.setHeader(HttpHeaderNames.IF_MATCH, "\"" + expectedVersion + "\"");
  }

  private static Either<PlatformError, VersionedObject> readObject(
      ObjectKey key, Response response) {
    return read(key, response, ObjectDocument.class)
        .flatMap(
            document ->
                document
                    .toObject()
                    .<Either<PlatformError, VersionedObject>>map(Either::right)
                    .orElseGet(() -> unreadable("an object without a value")));
  }

  private static <T> Either<PlatformError, T> read(ObjectKey key, Response response, Class<T> as) {
    return switch (response.getStatusCode()) {
      case STATUS_OK -> parse(response, as);
      case STATUS_NOT_FOUND -> Either.left(new PlatformError.NotFound(key));
      case STATUS_PRECONDITION_FAILED -> Either.left(conflict(key, response));
      default -> Either.left(new PlatformError.Invalid("status " + response.getStatusCode()));
    };
  }

  private static PlatformError conflict(ObjectKey key, Response response) {
    Optional<VersionedObject> current =
        Json.read(response.getResponseBody(StandardCharsets.UTF_8), ObjectDocument.class)
            .toJavaOptional()
            .flatMap(ObjectDocument::toObject);
    return new PlatformError.Conflict(key, current);
  }

  private static <T> Either<PlatformError, T> parse(Response response, Class<T> type) {
    Either<String, T> document = Json.read(response.getResponseBody(StandardCharsets.UTF_8), type);
    return document.isRight() ? Either.right(document.get()) : unreadable(document.getLeft());
  }

  /** An answer that cannot be read says as little about a write as none. */
  private static <T> Either<PlatformError, T> unreadable(String detail) {
    return Either.left(new PlatformError.AnswerLost("unreadable answer: " + detail));
  }

  private static String kindPath(String kind) {
    return "/v1/objects/" + encode(kind);
  }

  private static String path(ObjectKey key) {
    return kindPath(key.kind()) + "/" + encode(key.name());
  }

  private static String encode(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
