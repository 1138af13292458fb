package org.galenapost.standins.load;

/**
 * One scheduled request.
 *
 * @param atNanos the send time in nanoseconds since the start of the run
 * @param requestClass the class of the request
 * @param key the idempotency key, unique within the run
 * @param prompt the prompt of a generation, or the body of an action
 * @param seed the sampling seed of a generation
 */
record Arrival(long atNanos, RequestClass requestClass, String key, String prompt, long seed) {}
