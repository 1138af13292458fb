package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.fleet.ServerKind;
import org.galenapost.core.fleet.ServerState;
import org.galenapost.core.generation.AttemptId;
import org.galenapost.core.generation.EngineEvent;
import org.galenapost.daemon.engine.CompletionBody;
import org.galenapost.daemon.engine.EngineCall;
import org.galenapost.daemon.engine.EngineClient;
import org.galenapost.daemon.engine.EngineListener;
import org.galenapost.daemon.engine.StreamEnd;

/** In-memory engines that produce tokens and fail on command of a test. */
final class FakeEngines implements EngineClient {

  static final int ANSWER_TOKENS = 20;

  /** An attempt that runs on an engine. */
  static final class Attempt {
    final AttemptId id;
    final String serverId;
    final long seed;
    final int startOffset;
    final List<Connection> connections = new ArrayList<>();
    int produced;

    Attempt(AttemptId id, String serverId, CompletionBody body) {
      this.id = id;
      this.serverId = serverId;
      this.seed = body.seed();
      this.startOffset = body.accepted().size();
      this.produced = startOffset;
    }
  }

  /** A connection that streams an attempt. */
  static final class Connection implements EngineCall {
    final EngineListener listener;
    int nextOffset;
    boolean isPaused;
    boolean isClosed;

    Connection(EngineListener listener, int next) {
      this.listener = listener;
      this.nextOffset = next;
    }

    @Override
    public void pause() {
      isPaused = true;
    }

    @Override
    public void resume() {
      isPaused = false;
    }

    @Override
    public void close() {
      isClosed = true;
    }
  }

  final Map<AttemptId, Attempt> running = new LinkedHashMap<>();
  final List<AttemptId> started = new ArrayList<>();
  final List<AttemptId> attached = new ArrayList<>();
  final List<AttemptId> cancelled = new ArrayList<>();
  final Set<String> crashed = new HashSet<>();
  final Set<String> frozen = new HashSet<>();
  final Set<String> stuck = new HashSet<>();
  final Map<String, String> versions = new HashMap<>();
  final Set<String> crashPrompts = new HashSet<>();
  private String textPrefix = "";

  static BackendServer server(String id) {
    return new BackendServer(
        id,
        "127.0.0.1",
        1,
        ServerKind.ENGINE,
        "dc1",
        Set.of("m1"),
        Optional.empty(),
        ServerState.LIVE,
        true);
  }

  /** Makes all engines produce other text from now on. */
  void changeText() {
    textPrefix = "other ";
  }

  static String token(long seed, int offset) {
    return "\u00f8" + seed + "-" + offset + " ";
  }

  @Override
  public EngineCall start(
      BackendServer server, CompletionBody body, AttemptId id, EngineListener listener) {
    Attempt attempt = new Attempt(id, server.id(), body);
    Connection connection = new Connection(listener, attempt.produced);
    if (crashed.contains(server.id())) {
      listener.onEnd(StreamEnd.UNREACHABLE);
      return connection;
    }
    started.add(id);
    running.put(id, attempt);
    attempt.connections.add(connection);
    if (crashPrompts.contains(body.prompt())) {
      crash(server.id());
    }
    return connection;
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId id, int fromOffset, EngineListener listener) {
    attached.add(id);
    Connection connection = new Connection(listener, fromOffset);
    Attempt attempt = running.get(id);
    if (crashed.contains(server.id())) {
      listener.onEnd(StreamEnd.UNREACHABLE);
    } else if (attempt == null || !attempt.serverId.equals(server.id())) {
      listener.onEnd(StreamEnd.NOT_FOUND);
    } else {
      attempt.connections.add(connection);
    }
    return connection;
  }

  @Override
  public void cancel(BackendServer server, AttemptId id) {
    cancelled.add(id);
    running.remove(id);
  }

  @Override
  public CompletionStage<Boolean> probe(BackendServer server, Duration timeout) {
    return frozen.contains(server.id())
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(!crashed.contains(server.id()));
  }

  /** Produces tokens for each attempt on a working engine and sends them to its connections. */
  void produce(int tokens) {
    for (int i = 0; i < tokens; i++) {
      for (Attempt attempt : List.copyOf(running.values())) {
        if (!frozen.contains(attempt.serverId) && !stuck.contains(attempt.serverId)) {
          attempt.produced = Math.min(ANSWER_TOKENS + 1, attempt.produced + 1);
          send(attempt);
        }
      }
    }
  }

  private void send(Attempt attempt) {
    for (Connection connection : List.copyOf(attempt.connections)) {
      while (connection.nextOffset < attempt.produced
          && !connection.isPaused
          && !connection.isClosed) {
        int offset = connection.nextOffset;
        connection.nextOffset++;
        connection.listener.onEvent(event(attempt, offset));
        if (offset == ANSWER_TOKENS) {
          connection.listener.onEnd(StreamEnd.COMPLETE);
        }
      }
    }
  }

  private EngineEvent event(Attempt attempt, int offset) {
    String version = versions.getOrDefault(attempt.serverId, "v1");
    return offset == ANSWER_TOKENS
        ? new EngineEvent.Finish(attempt.id, offset, "m1", version, "length")
        : new EngineEvent.Token(
            attempt.id, offset, "m1", version, textPrefix + token(attempt.seed, offset));
  }

  void breakConnections(String serverId) {
    for (Attempt attempt : List.copyOf(running.values())) {
      if (attempt.serverId.equals(serverId)) {
        List<Connection> brokenConnections = List.copyOf(attempt.connections);
        attempt.connections.clear();
        brokenConnections.stream()
            .filter(connection -> !connection.isClosed)
            .forEach(connection -> connection.listener.onEnd(StreamEnd.RESET));
      }
    }
  }

  void crash(String serverId) {
    crashed.add(serverId);
    List<Attempt> lost =
        running.values().stream().filter(it -> it.serverId.equals(serverId)).toList();
    lost.forEach(attempt -> running.remove(attempt.id));
    for (Attempt attempt : lost) {
      attempt.connections.stream()
          .filter(connection -> !connection.isClosed)
          .forEach(connection -> connection.listener.onEnd(StreamEnd.RESET));
    }
  }

  String serverOf(AttemptId id) {
    return running.get(id).serverId;
  }

  AttemptId lastStarted() {
    return started.get(started.size() - 1);
  }
}
