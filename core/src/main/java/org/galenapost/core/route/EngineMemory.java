package org.galenapost.core.route;

/**
 * The memory of the engines of a service for the tokens of their runs.
 *
 * @param tokens the capacity of one engine, in tokens
 * @param takesCopies whether an engine can send a copy of a run's memory to another engine
 */
public record EngineMemory(long tokens, boolean takesCopies) {}
