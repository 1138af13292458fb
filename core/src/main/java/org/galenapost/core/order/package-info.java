/**
 * Orders to engines: comparison of the wanted placement with the engine state, a lease per task,
 * fencing numbers and the rate limit of model loads. The package does no I/O; engines and the
 * platform are passed in as interfaces.
 */
package org.galenapost.core.order;
