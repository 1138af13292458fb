package org.galenapost.standins.load;

/**
 * The latencies of one stream, as plotted.
 *
 * @param startMs the intended start in milliseconds since the start of the run
 * @param firstTokenMs the time to the first token in milliseconds
 * @param longestGapMs the longest time between two tokens in milliseconds
 */
record Sample(double startMs, double firstTokenMs, double longestGapMs) {}
