/**
 * The stand-in for a model engine. It simulates continuous batching, a bounded prefix cache,
 * detached generations, orders and faults. {@link org.galenapost.standins.engine.EngineText}
 * computes the text that an engine must produce, so that tests and load generators can check any
 * answer.
 */
package org.galenapost.standins.engine;
