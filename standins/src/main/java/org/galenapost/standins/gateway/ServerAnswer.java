package org.galenapost.standins.gateway;

/**
 * An answer that a server gave under its seal.
 *
 * @param callId the id of the call
 * @param status the status
 * @param body the whole body
 */
public record ServerAnswer(String callId, int status, String body) {}
