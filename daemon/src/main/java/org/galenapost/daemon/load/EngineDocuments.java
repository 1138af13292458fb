package org.galenapost.daemon.load;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.galenapost.core.routing.LoadReport;
import org.galenapost.core.routing.LoadedModel;
import org.galenapost.core.routing.PrefixHints;

/** The JSON documents with which engines answer polls. */
final class EngineDocuments {

  private EngineDocuments() {}

  /** The answer to {@code GET /v1/load}. */
  record Load(
      int running, int waiting, double tokensPerSecond, double cacheUsed, Instant reportedAt) {

    LoadReport toReport() {
      return new LoadReport(running, waiting, tokensPerSecond, cacheUsed, reportedAt);
    }
  }

  /** The answer to {@code GET /v1/cache-events}. */
  record CacheEvents(long next, List<CacheEvent> events) {}

  /** An event of {@link CacheEvents}. */
  record CacheEvent(long sequence, String type, String prefix) {

    private static final String STORED = "stored";

    PrefixHints.CacheEvent toEvent() {
      return new PrefixHints.CacheEvent(sequence, STORED.equals(type), prefix);
    }
  }

  /** The answer to {@code GET /v1/state}. */
  record State(List<StateModel> models) {

    List<LoadedModel> toLoadedModels() {
      return models.stream().map(StateModel::toLoadedModel).toList();
    }
  }

  /** A model of {@link State}. */
  record StateModel(String model, String version, List<String> adapters, boolean loading) {

    LoadedModel toLoadedModel() {
      return new LoadedModel(model, version, Set.copyOf(adapters), loading);
    }
  }
}
