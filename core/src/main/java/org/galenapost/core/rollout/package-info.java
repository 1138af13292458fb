/**
 * Decides about roll-outs of a service's new software version: which share of requests it gets,
 * whether it is bad, and when all traffic has moved to it. See {@code docs/design/rollouts.md}.
 */
package org.galenapost.core.rollout;
