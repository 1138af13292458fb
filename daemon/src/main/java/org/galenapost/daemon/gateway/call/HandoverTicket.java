package org.galenapost.daemon.gateway.call;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.origin.StreamOrigin;

/**
 * What a daemon tells another one with a call that it hands over.
 *
 * @param callId the id of the call, so that the ticket fits no other one
 * @param sender the id of the daemon that hands the call over
 * @param runCount the number of servers that may have run the call
 * @param isFirstSendCounted whether the sender has counted the first send in its retry budget
 * @param configurationVersion the configuration that the call was validated against
 * @param origin where the stream began that the call resumes; empty for other calls
 */
public record HandoverTicket(
    String callId,
    String sender,
    int runCount,
    boolean isFirstSendCounted,
    long configurationVersion,
    Optional<StreamOrigin> origin) {

  /** Checks that the ids are present, and replaces an absent origin by an empty one. */
  public HandoverTicket {
    Objects.requireNonNull(callId, "callId");
    Objects.requireNonNull(sender, "sender");
    origin = origin == null ? Optional.empty() : origin;
  }
}
