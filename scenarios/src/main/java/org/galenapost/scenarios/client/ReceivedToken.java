package org.galenapost.scenarios.client;

/**
 * A token received by the client.
 *
 * @param offset the position in the answer, starting at 0
 * @param text the text of the token
 * @param arrivalNanos the arrival time on the monotonic clock, in nanoseconds
 */
public record ReceivedToken(int offset, String text, long arrivalNanos) {}
