package org.galenapost.daemon.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Stores the traces of the latest requests. Safe for use by any thread. */
public final class TraceStore {

  private final Map<String, RequestTrace> traces;

  /** Creates a store of at most the given number of traces. */
  public TraceStore(int maxTraces) {
    this.traces =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, RequestTrace> eldest) {
            return size() > maxTraces;
          }
        };
  }

  /** Adds a trace; evicts the oldest one if the store is full. */
  public synchronized void put(RequestTrace trace) {
    traces.put(trace.requestId(), trace);
  }

  /** Returns the trace with the given request id, if it is stored. */
  public synchronized Optional<RequestTrace> find(String requestId) {
    return Optional.ofNullable(traces.get(requestId));
  }
}
