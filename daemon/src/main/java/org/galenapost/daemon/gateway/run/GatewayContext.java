package org.galenapost.daemon.gateway.run;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.galenapost.core.dispatch.BrittleServers;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceStatusBroadcaster;
import org.galenapost.core.dispatch.RequestedPauses;
import org.galenapost.core.dispatch.RetryLoans;
import org.galenapost.core.dispatch.ReturnDelay;
import org.galenapost.core.dispatch.RoomQueue;
import org.galenapost.core.dispatch.RunTimes;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.dispatch.SendPermits;
import org.galenapost.core.dispatch.ServerLimits;
import org.galenapost.core.dispatch.ServerSpeeds;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.handover.HandoverPeers;
import org.galenapost.core.handover.ServerReach;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.origin.OriginRecords;
import org.galenapost.core.origin.StreamOrigins;
import org.galenapost.core.prompt.PromptReadListener;
import org.galenapost.core.quarantine.PromptPartQuarantine;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.rollout.Rollouts;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.call.HandoverTickets;
import org.galenapost.daemon.gateway.upstream.ConnectProbes;
import org.galenapost.daemon.gateway.upstream.ServerConnectionPool;

/**
 * The collaborators shared by all calls.
 *
 * @param daemonId the id of this daemon
 * @param clock measures elapsed time
 * @param scheduler runs timers on the event loop
 * @param format encodes requests and decodes responses
 * @param pool sends requests on pooled connections
 * @param probes checks whether a server's host accepts connections
 * @param directory the known servers
 * @param chooser chooses a server for each send
 * @param useTracker tracks the load that all daemons place on each server
 * @param speeds the measured speed of each server
 * @param runTimes how long servers work on calls
 * @param returnDelay decides when refused callers may come back
 * @param health records recent failures of servers
 * @param pauses the pauses that servers asked for
 * @param promptReads is notified of prompts that servers have read
 * @param limits the limits that servers name
 * @param brittleServers the servers that fall over if they have to refuse many calls
 * @param permits keeps the sends of all daemons within the limits of servers
 * @param origins knows where streams began
 * @param originRecords keeps where streams began in the platform's store
 * @param serverReach whether this daemon reaches the servers of each service
 * @param handoverPeers the daemons that take calls from this one
 * @param tickets writes the tickets of calls that are handed over
 * @param statusBroadcaster broadcasts lost and replaced servers to the other daemons
 * @param budget limits retries
 * @param retryLoans borrows retries from other daemons
 * @param requestGuard isolates and refuses requests that crash servers
 * @param partQuarantine refuses requests with a part of a prompt that crashes servers
 * @param stallGuard detects stalls of this process
 * @param paces the usual pace of each server
 * @param answerBuffers bounds what calls hold of incomplete answers
 * @param roomQueue the calls that wait for room at servers
 * @param meters counts and times calls
 * @param rollouts decides which versions a call may go to; empty if every version may
 * @param isEnding returns whether this daemon ends, so that calls that wait go to others
 */
public record GatewayContext(
    String daemonId,
    MonotonicClock clock,
    Scheduler scheduler,
    CallFormat format,
    ServerConnectionPool pool,
    ConnectProbes probes,
    InstanceDirectory directory,
    InstanceChooser chooser,
    ServerUseTracker useTracker,
    ServerSpeeds speeds,
    RunTimes runTimes,
    ReturnDelay returnDelay,
    InstanceHealth health,
    RequestedPauses pauses,
    PromptReadListener promptReads,
    ServerLimits limits,
    BrittleServers brittleServers,
    SendPermits permits,
    StreamOrigins origins,
    OriginRecords originRecords,
    ServerReach serverReach,
    HandoverPeers handoverPeers,
    HandoverTickets tickets,
    InstanceStatusBroadcaster statusBroadcaster,
    SendBudget budget,
    RetryLoans retryLoans,
    RequestGuard requestGuard,
    PromptPartQuarantine partQuarantine,
    StallGuard stallGuard,
    InstancePaces paces,
    BufferBudget answerBuffers,
    RoomQueue roomQueue,
    GatewayMeters meters,
    Optional<Rollouts> rollouts,
    BooleanSupplier isEnding) {}
