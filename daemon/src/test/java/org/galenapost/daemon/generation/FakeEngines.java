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

/** Engines in memory that bring a token whenever a test says so, and fail as it says. */
final class FakeEngines implements EngineClient {

  static final int ANSWER_TOKENS = 20;

  /** One attempt that runs on an engine. */
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

  /** One connection that reads an attempt. */
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

  /** Lets runs started from now on produce other text. */
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
    Connection reading = new Connection(listener, attempt.produced);
    if (crashed.contains(server.id())) {
      listener.onEnd(StreamEnd.UNREACHABLE);
      return reading;
    }
    started.add(id);
    running.put(id, attempt);
    attempt.connections.add(reading);
    if (crashPrompts.contains(body.prompt())) {
      crash(server.id());
    }
    return reading;
  }

  @Override
  public EngineCall attach(
      BackendServer server, AttemptId id, int fromOffset, EngineListener listener) {
    attached.add(id);
    Connection reading = new Connection(listener, fromOffset);
    Attempt attempt = running.get(id);
    if (crashed.contains(server.id())) {
      listener.onEnd(StreamEnd.UNREACHABLE);
    } else if (attempt == null || !attempt.serverId.equals(server.id())) {
      listener.onEnd(StreamEnd.NOT_FOUND);
    } else {
      attempt.connections.add(reading);
    }
    return reading;
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

  /** Produces tokens on every engine that runs, and sends what its readers lack. */
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
    for (Connection reading : List.copyOf(attempt.connections)) {
      while (reading.nextOffset < attempt.produced && !reading.isPaused && !reading.isClosed) {
        int offset = reading.nextOffset;
        reading.nextOffset++;
        reading.listener.onEvent(event(attempt, offset));
        if (offset == ANSWER_TOKENS) {
          reading.listener.onEnd(StreamEnd.COMPLETE);
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
        List<Connection> broken = List.copyOf(attempt.connections);
        attempt.connections.clear();
        broken.stream()
            .filter(reading -> !reading.isClosed)
            .forEach(reading -> reading.listener.onEnd(StreamEnd.RESET));
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
          .filter(reading -> !reading.isClosed)
          .forEach(reading -> reading.listener.onEnd(StreamEnd.RESET));
    }
  }

  String serverOf(AttemptId id) {
    return running.get(id).serverId;
  }

  AttemptId lastStarted() {
    return started.get(started.size() - 1);
  }
}
