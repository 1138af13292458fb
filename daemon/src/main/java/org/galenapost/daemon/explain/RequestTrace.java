package org.galenapost.daemon.explain;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.explain.Decision;

/** Collects the decisions about one request; safe for use by any thread. */
public final class RequestTrace {

  private static final int MAX_ENTRIES = 200;

  private final String requestId;
  private final InstantSource time;
  private final Instant startedAt;
  private final List<TraceEntry> entries = new ArrayList<>();
  private int droppedCount;
  private RequestOutcome outcome;

  /** Starts a trace now. */
  public RequestTrace(String requestId, InstantSource time) {
    this.requestId = requestId;
    this.time = time;
    this.startedAt = time.instant();
  }

  /** Returns the id of the request. */
  public String requestId() {
    return requestId;
  }

  /** Adds a decision; beyond a bound only their number is kept. */
  public synchronized void add(Decision decision) {
    if (entries.size() < MAX_ENTRIES) {
      entries.add(new TraceEntry(time.instant(), decision.kind().wireName(), decision.reason()));
    } else {
      droppedCount++;
    }
  }

  /** Notes how the request ended. */
  public synchronized void recordOutcome(RequestOutcome end) {
    outcome = end;
  }

  /** Returns the trace as it stands. */
  public synchronized TraceDocument toDocument() {
    return new TraceDocument(
        requestId, startedAt, Optional.ofNullable(outcome), List.copyOf(entries), droppedCount);
  }
}
