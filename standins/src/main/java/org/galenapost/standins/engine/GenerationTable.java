package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.http.EventStream;

/** The generations that are kept, with their readers. Runs on the event loop. */
final class GenerationTable {

  private final ScheduledExecutorService loop;
  private final EngineFaults faults;
  private final FreezeGate gate;
  private final Map<String, Entry> entries = new HashMap<>();

  GenerationTable(ScheduledExecutorService loop, EngineFaults faults, FreezeGate gate) {
    this.loop = loop;
    this.faults = faults;
    this.gate = gate;
    gate.onThaw(() -> List.copyOf(entries.values()).forEach(this::sendAvailable));
  }

  /** Returns a generation by its attempt's id. */
  Optional<Generation> find(String attemptId) {
    return Optional.ofNullable(entries.get(attemptId)).map(entry -> entry.generation);
  }

  void add(Generation generation) {
    Entry entry = new Entry(generation);
    entries.put(generation.id(), entry);
    generation.onProgress(() -> sendAvailable(entry));
  }

  /** Streams a generation to a connection until it ends or the connection closes. */
  void attach(String attemptId, EventStream stream, int firstOffset) {
    Entry entry = entries.get(attemptId);
    GenerationStreamer reader =
        new GenerationStreamer(entry.generation, stream, faults, gate, firstOffset);
    entry.streamers.add(reader);
    entry.expiryTimer.cancel(false);
    stream.onClose(() -> detach(entry, reader));
    sendAvailable(entry);
  }

  private void sendAvailable(Entry entry) {
    for (GenerationStreamer reader : List.copyOf(entry.streamers)) {
      reader.sendAvailable();
      if (reader.hasEnded()) {
        detach(entry, reader);
      }
    }
  }

  /** Cancels a generation and forgets it. */
  void cancel(Generation generation) {
    generation.cancel();
    entries.remove(generation.id());
    generation.notifyProgress();
  }

  /** Resets the connections of all readers. */
  void resetStreams() {
    for (Entry entry : entries.values()) {
      entry.streamers.forEach(reader -> reader.stream().reset());
    }
  }

  private void detach(Entry entry, GenerationStreamer reader) {
    boolean wasAttached = entry.streamers.remove(reader);
    if (wasAttached && entry.streamers.isEmpty()) {
      long keepMs = entry.generation.detachedKeepMs();
      entry.expiryTimer = loop.schedule(() -> expire(entry), keepMs, TimeUnit.MILLISECONDS);
    }
  }

  private void expire(Entry entry) {
    if (entry.streamers.isEmpty()) {
      entry.generation.cancel();
      entries.remove(entry.generation.id(), entry);
    }
  }

  private static final class Entry {

    private final Generation generation;
    private final List<GenerationStreamer> streamers = new ArrayList<>();
    private Future<?> expiryTimer = CompletableFuture.completedFuture(null);

    private Entry(Generation generation) {
      this.generation = generation;
    }
  }
}
