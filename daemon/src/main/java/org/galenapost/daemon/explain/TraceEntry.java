package org.galenapost.daemon.explain;

import java.time.Instant;

/**
 * A decision in the trace of a request.
 *
 * @param at the time of the decision
 * @param decision the kind of decision
 * @param reason the explanation
 */
public record TraceEntry(Instant at, String decision, String reason) {}
