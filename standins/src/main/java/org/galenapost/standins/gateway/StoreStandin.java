package org.galenapost.standins.gateway;

import static io.netty.handler.codec.http.HttpMethod.DELETE;
import static io.netty.handler.codec.http.HttpMethod.GET;
import static io.netty.handler.codec.http.HttpMethod.POST;
import static io.netty.handler.codec.http.HttpMethod.PUT;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.standins.Standin;
import org.galenapost.standins.http.Exchange;
import org.galenapost.standins.http.HttpError;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.http.RequestHandler;
import org.galenapost.standins.http.Routes;
import org.galenapost.standins.json.Json;

/**
 * The platform's store. It keeps objects by kind and name under one revision counter and supports
 * conditional writes, paged lists, watches and a change history that can be discarded. It can be
 * restored from a copy, which starts a new era. Methods set its faults; any thread may call them.
 */
public final class StoreStandin implements Standin {

  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;
  private static final Duration WRITE_DELAY = Duration.ofMillis(1_500);
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final HttpServer server = HttpServer.onPort(0);
  private final Map<String, Map<String, ObjectNode>> objects = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private final List<StoreEndpoint> endpoints = new CopyOnWriteArrayList<>();
  private final RequestHandler routes =
      Routes.create()
          .on(GET, "/objects/{kind}", this::listOrWatch)
          .on(POST, "/objects/{kind}", exchange -> write(exchange, this::create))
          .on(GET, "/objects/{kind}/{name}", this::get)
          .on(PUT, "/objects/{kind}/{name}", exchange -> write(exchange, this::replace))
          .on(
              PUT,
              "/objects/{kind}/{name}/status",
              exchange -> write(exchange, this::replaceStatus))
          .on(DELETE, "/objects/{kind}/{name}", exchange -> write(exchange, this::delete));
  private long revision = 1;
  private long era = 1;
  private long discardedRevision;
  private int pageSize = 500;
  private int callCount;
  private Mode mode = Mode.SERVING;
  private Runnable betweenPages = () -> {};

  /** How the store handles calls. */
  public enum Mode {
    /** It responds normally. */
    SERVING,
    /** It rejects calls with status 503; writes are not applied. */
    REFUSING,
    /** It accepts calls and never responds; writes are not applied. */
    HANGING,
    /**
     * It applies writes but closes their connection without a response. It never responds to lists
     * and watches; reads of single objects are not affected.
     */
    LOSING_ANSWERS,
    /**
     * It closes the connection of a write at once and applies the write after a delay, if its
     * condition holds then.
     */
    LATE_WRITES
  }

  /** The content of the store at one revision. */
  public record Copy(long revision, Map<String, Map<String, ObjectNode>> objects) {}

  private record Change(long revision, String kind, ObjectNode object, boolean isDeleted) {}

  private record Watch(Exchange exchange, String kind, long since) {}

  @Override
  public void start() {
    server.start(this::handle);
  }

  /** Opens an additional address whose clients can be given faults of their own. */
  public StoreEndpoint openEndpoint() {
    StoreEndpoint endpoint =
        new StoreEndpoint(exchange -> server.eventLoop().execute(() -> serve(exchange)));
    endpoint.start();
    endpoints.add(endpoint);
    return endpoint;
  }

  private void handle(Exchange exchange) {
    exchange.setResponseHeader("Store-Era", Long.toString(era));
    routes.handle(exchange);
  }

  private void serve(Exchange exchange) {
    try {
      handle(exchange);
    } catch (HttpError e) {
      exchange.replyError(e.status(), e.getMessage());
    }
  }

  @Override
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    endpoints.forEach(StoreEndpoint::stop);
    server.stop();
  }

  /** Sets how calls are handled; {@link Mode#REFUSING} also closes the connections of watches. */
  public void setMode(Mode newMode) {
    server.runOnEventLoop(
        () -> {
          mode = newMode;
          if (newMode == Mode.REFUSING) {
            List<Watch> closed = List.copyOf(watches);
            watches.clear();
            closed.forEach(watch -> watch.exchange().closeWithoutResponse());
          }
        });
  }

  /** Sets the number of objects in a page. */
  public void setPageSize(int objectsPerPage) {
    server.runOnEventLoop(() -> pageSize = objectsPerPage);
  }

  /** Writes an object after the first page of the next listing that has several. */
  public void writeBetweenPages(String kind, String name, Object spec) {
    JsonNode json = Json.newMapper().valueToTree(spec);
    server.runOnEventLoop(() -> betweenPages = () -> put(kind, name, json));
  }

  /**
   * Discards the history; watches from earlier revisions then get status 410 and must list again.
   */
  public void discardHistory() {
    server.runOnEventLoop(
        () -> {
          history.clear();
          discardedRevision = revision;
        });
  }

  /** Sets the number of the era, before any daemon reads it. */
  public void setEra(long number) {
    server.runOnEventLoop(() -> era = number);
  }

  /** Returns a copy of all objects, from which the store can be restored. */
  public Copy copy() {
    return server.callOnEventLoop(() -> new Copy(revision, copyOf(objects)));
  }

  /**
   * Restores the store from a copy, as after a loss of its latest writes. Revisions go back, a new
   * era starts, and waiting watches are cut off.
   */
  public void restore(Copy copy) {
    server.runOnEventLoop(
        () -> {
          era++;
          revision = copy.revision();
          objects.clear();
          objects.putAll(copyOf(copy.objects()));
          history.removeIf(change -> change.revision() > revision);
          List<Watch> cut = List.copyOf(watches);
          watches.clear();
          cut.forEach(watch -> watch.exchange().closeWithoutResponse());
        });
  }

  private static Map<String, Map<String, ObjectNode>> copyOf(
      Map<String, Map<String, ObjectNode>> objects) {
    Map<String, Map<String, ObjectNode>> copy = new TreeMap<>();
    objects.forEach((kind, byName) -> copy.put(kind, new TreeMap<>(byName)));
    return copy;
  }

  /** Writes an object without a precondition and returns its revision. */
  public long write(String kind, String name, Object spec) {
    return server.callOnEventLoop(() -> put(kind, name, Json.newMapper().valueToTree(spec)));
  }

  /** Removes an object, as its owner does, or as the store does when the object expires. */
  public void remove(String kind, String name) {
    server.runOnEventLoop(() -> removeObject(kind, name));
  }

  /** Returns the status of an object, a null node if it has none. */
  public JsonNode status(String kind, String name) {
    return server.callOnEventLoop(() -> objectsOfKind(kind).get(name).get("status"));
  }

  /** Returns the names of the objects of a kind. */
  public List<String> names(String kind) {
    return server.callOnEventLoop(() -> List.copyOf(objectsOfKind(kind).keySet()));
  }

  /** Returns the number of calls received. */
  public int callCount() {
    return server.callOnEventLoop(() -> callCount);
  }

  private Map<String, ObjectNode> objectsOfKind(String kind) {
    return objects.computeIfAbsent(kind, name -> new TreeMap<>());
  }

  private long put(String kind, String name, JsonNode spec) {
    ObjectNode before = objectsOfKind(kind).get(name);
    if (before != null && before.get("spec").equals(spec)) {
      return revisionOf(before);
    }
    revision++;
    ObjectNode meta = JSON.objectNode().put("name", name).put("revision", revision);
    meta.put("created", before == null ? revision : before.at("/meta/created").asLong());
    meta.set("finalizers", JSON.arrayNode());
    meta.put("deleting", false);
    ObjectNode object = JSON.objectNode();
    object.set("meta", meta);
    object.set("spec", spec);
    object.set("status", before == null ? JSON.nullNode() : before.get("status"));
    objectsOfKind(kind).put(name, object);
    recordChange(new Change(revision, kind, object, false));
    return revision;
  }

  private void removeObject(String kind, String name) {
    ObjectNode before = objectsOfKind(kind).remove(name);
    if (before != null) {
      revision++;
      recordChange(new Change(revision, kind, before, true));
    }
  }

  private void recordChange(Change change) {
    history.add(change);
    List<Watch> affected =
        watches.stream().filter(watch -> watch.kind().equals(change.kind())).toList();
    watches.removeAll(affected);
    affected.forEach(watch -> completeWatch(watch.exchange(), watch.kind(), watch.since()));
  }

  private static long revisionOf(ObjectNode object) {
    return object.at("/meta/revision").asLong();
  }

  private boolean rejectsCall(Exchange exchange) {
    callCount++;
    if (mode == Mode.REFUSING) {
      exchange.replyError(UNAVAILABLE, "the store is down");
    }
    return mode == Mode.REFUSING || mode == Mode.HANGING;
  }

  private void listOrWatch(Exchange exchange) {
    if (rejectsCall(exchange) || mode == Mode.LOSING_ANSWERS) {
      return;
    }
    String kind = exchange.pathParameter("kind");
    long since = exchange.queryLong("watch", -1);
    if (since < 0) {
      list(exchange, kind);
    } else if (since < discardedRevision || since > revision) {
      exchange.replyError(GONE, "this history is gone");
    } else if (changesSince(kind, since).isEmpty()) {
      addWatch(new Watch(exchange, kind, since), exchange.queryLong("wait_ms", 0));
    } else {
      completeWatch(exchange, kind, since);
    }
  }

  private void list(Exchange exchange, String kind) {
    String after = exchange.query("after").orElse("");
    List<ObjectNode> rest =
        objectsOfKind(kind).entrySet().stream()
            .filter(entry -> entry.getKey().compareTo(after) > 0)
            .map(Map.Entry::getValue)
            .toList();
    ObjectNode page = JSON.objectNode();
    page.putArray("entries").addAll(rest.subList(0, Math.min(pageSize, rest.size())));
    page.put("more", rest.size() > pageSize).put("as_of", revision);
    exchange.replyOk(page);
    if (rest.size() > pageSize) {
      betweenPages.run();
      betweenPages = () -> {};
    }
  }

  private void addWatch(Watch watch, long waitMs) {
    watches.add(watch);
    // An exchange from a StoreEndpoint closes on that endpoint's event loop.
    watch.exchange().onClose(() -> server.eventLoop().execute(() -> watches.remove(watch)));
    server
        .eventLoop()
        .schedule(
            () -> {
              if (watches.remove(watch)) {
                completeWatch(watch.exchange(), watch.kind(), watch.since());
              }
            },
            waitMs,
            TimeUnit.MILLISECONDS);
  }

  private List<Change> changesSince(String kind, long since) {
    return history.stream()
        .filter(change -> change.kind().equals(kind) && change.revision() > since)
        .toList();
  }

  private void completeWatch(Exchange exchange, String kind, long since) {
    ObjectNode response = JSON.objectNode();
    var events = response.putArray("events");
    for (Change change : changesSince(kind, since)) {
      ObjectNode event = events.addObject();
      event.set("object", change.object());
      event.put("deleted", change.isDeleted());
    }
    response.put("as_of", revision);
    exchange.replyOk(response);
  }

  private void get(Exchange exchange) {
    if (!rejectsCall(exchange)) {
      reply(
          exchange,
          objectsOfKind(exchange.pathParameter("kind")).get(exchange.pathParameter("name")));
    }
  }

  private static void reply(Exchange exchange, ObjectNode object) {
    if (object == null) {
      exchange.replyError(NOT_FOUND, "no such object");
    } else {
      exchange.replyOk(object);
    }
  }

  private void write(Exchange exchange, Consumer<Exchange> action) {
    if (rejectsCall(exchange)) {
      return;
    }
    if (mode == Mode.LATE_WRITES) {
      exchange.closeWithoutResponse();
      Runnable delayedWrite = () -> action.accept(exchange);
      server.eventLoop().schedule(delayedWrite, WRITE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      action.accept(exchange);
    }
  }

  private void create(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    JsonNode wanted = exchange.body(JsonNode.class);
    String name = wanted.at("/meta/name").asText();
    ObjectNode existing = objectsOfKind(kind).get(name);
    if (existing != null) {
      exchange.reply(CONFLICT, (Object) existing);
      return;
    }
    put(kind, name, wanted.get("spec"));
    completeWrite(exchange, CREATED, objectsOfKind(kind).get(name));
  }

  private void replace(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    String name = exchange.pathParameter("name");
    JsonNode wanted = exchange.body(JsonNode.class);
    ObjectNode existing = objectsOfKind(kind).get(name);
    JsonNode expected = wanted.at("/meta/revision");
    if (existing == null) {
      exchange.replyError(NOT_FOUND, "no such object");
    } else if (!expected.isMissingNode() && expected.asLong() != revisionOf(existing)) {
      exchange.reply(CONFLICT, (Object) existing);
    } else {
      put(kind, name, wanted.get("spec"));
      completeWrite(exchange, 200, objectsOfKind(kind).get(name));
    }
  }

  /** Replaces the status of an object; the specification stays as it is. */
  private void replaceStatus(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    String name = exchange.pathParameter("name");
    JsonNode wanted = exchange.body(JsonNode.class);
    ObjectNode existing = objectsOfKind(kind).get(name);
    if (existing == null) {
      exchange.replyError(NOT_FOUND, "no such object");
    } else if (wanted.at("/meta/revision").asLong(-1) != revisionOf(existing)) {
      exchange.reply(CONFLICT, (Object) existing);
    } else {
      revision++;
      ObjectNode object = existing.deepCopy();
      ((ObjectNode) object.get("meta")).put("revision", revision);
      object.set("status", wanted.get("status"));
      objectsOfKind(kind).put(name, object);
      recordChange(new Change(revision, kind, object, false));
      completeWrite(exchange, 200, object);
    }
  }

  private void delete(Exchange exchange) {
    String kind = exchange.pathParameter("kind");
    ObjectNode existing = objectsOfKind(kind).get(exchange.pathParameter("name"));
    if (existing == null) {
      exchange.replyError(NOT_FOUND, "no such object");
      return;
    }
    removeObject(kind, exchange.pathParameter("name"));
    completeWrite(exchange, 200, existing);
  }

  private void completeWrite(Exchange exchange, int status, ObjectNode object) {
    if (mode == Mode.LOSING_ANSWERS) {
      exchange.closeWithoutResponse();
    } else {
      exchange.reply(status, (Object) object);
    }
  }
}
