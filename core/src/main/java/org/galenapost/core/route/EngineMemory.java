package org.galenapost.core.route;

/**
 * The model memory of the engines of a service.
 *
 * @param tokens the tokens that one engine holds
 * @param takesCopies whether an engine sends copies of a run's memory to another one
 */
public record EngineMemory(long tokens, boolean takesCopies) {}
