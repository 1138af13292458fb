package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.engine.EngineClient;

/**
 * Probes servers whose streams were reset. All streams of a server share one probe, so that the
 * loss of a server costs one connection and not one per stream.
 */
final class ServerProbes {

  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final Duration RESULT_VALIDITY = Duration.ofMillis(100);

  private final EngineClient engines;
  private final Scheduler scheduler;
  private final Map<String, CompletionStage<Boolean>> probes = new ConcurrentHashMap<>();

  ServerProbes(EngineClient engines, Scheduler scheduler) {
    this.engines = engines;
    this.scheduler = scheduler;
  }

  /** Returns whether the server still answers. */
  CompletionStage<Boolean> isAlive(BackendServer server) {
    return probes.computeIfAbsent(server.id(), id -> probe(server));
  }

  private CompletionStage<Boolean> probe(BackendServer server) {
    CompletionStage<Boolean> answer = engines.probe(server, TIMEOUT);
    scheduler.schedule(TIMEOUT.plus(RESULT_VALIDITY), () -> probes.remove(server.id()));
    return answer;
  }
}
