package org.galenapost.standins.load;

/**
 * The number of refusals with the same reason and verdict.
 *
 * @param reason the reason of the refusal
 * @param verdict whether the request may have run
 * @param count the number of refusals
 */
public record Refusals(String reason, String verdict, long count) {}
