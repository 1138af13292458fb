package org.galenapost.daemon.explain;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.explain.Decision;

/** Collects the decisions about one request. Safe for use by any thread. */
public final class RequestTrace {

  private static final int MAX_ENTRIES = 200;

  private final String requestId;
  private final InstantSource time;
  private final Instant startedAt;
  private final List<TraceEntry> entries = new ArrayList<>();
  private int droppedCount;
  private RequestOutcome outcome;

  /** Creates a trace that starts now. */
  public RequestTrace(String requestId, InstantSource time) {
    this.requestId = requestId;
    this.time = time;
    this.startedAt = time.instant();
  }

  /** Returns the id of the request. */
  public String requestId() {
    return requestId;
  }

  /** Adds a decision. Decisions beyond the limit are counted but not kept. */
  public synchronized void add(Decision decision) {
    if (entries.size() < MAX_ENTRIES) {
      entries.add(new TraceEntry(time.instant(), decision.kind().wireName(), decision.reason()));
    } else {
      droppedCount++;
    }
  }

  /** Records the outcome of the request. */
  public synchronized void recordOutcome(RequestOutcome newOutcome) {
    outcome = newOutcome;
  }

  /** Returns a snapshot of the trace. */
  public synchronized TraceDocument toDocument() {
    return new TraceDocument(
        requestId, startedAt, Optional.ofNullable(outcome), List.copyOf(entries), droppedCount);
  }
}
