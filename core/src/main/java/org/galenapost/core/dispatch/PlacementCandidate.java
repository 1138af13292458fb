package org.galenapost.core.dispatch;

/**
 * A server as the choice for one call sees it.
 *
 * @param server the id of the server
 * @param dataCentre the data centre of the server
 * @param version the software version of the server; empty if unknown
 * @param decision whether the server is chosen, could be chosen, or why it is left out
 * @param expectedWaitMs the expected wait of the call less what is saved, in milliseconds
 * @param savedTokens the prompt tokens that the server is expected to hold
 * @param heldAgeMs the time since a prompt was read there, in milliseconds; -1 if none is known
 * @param calls the calls in flight by all daemons
 * @param slots the calls that the server runs concurrently
 * @param unreadTokens the prompt tokens of runs without an event
 * @param usedMemoryTokens the memory that runs and copies occupy, in tokens
 * @param memoryTokens the memory of the server, in tokens; 0 for a plain service
 * @param failureShare the moving average of the share of failed calls
 * @param pauseMs how long the server wants no calls, in milliseconds; 0 if it takes calls
 */
public record PlacementCandidate(
    String server,
    String dataCentre,
    String version,
    String decision,
    long expectedWaitMs,
    long savedTokens,
    long heldAgeMs,
    int calls,
    int slots,
    long unreadTokens,
    long usedMemoryTokens,
    long memoryTokens,
    double failureShare,
    long pauseMs) {}
