package org.galenapost.daemon.explain;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The trace of a request in the form that operators read.
 *
 * @param requestId the id of the request
 * @param startedAt the arrival time of the request
 * @param outcome the outcome, if the request has ended
 * @param decisions the decisions, oldest first
 * @param droppedDecisions the number of decisions beyond the limit, which were not kept
 */
public record TraceDocument(
    String requestId,
    Instant startedAt,
    Optional<RequestOutcome> outcome,
    List<TraceEntry> decisions,
    int droppedDecisions) {}
