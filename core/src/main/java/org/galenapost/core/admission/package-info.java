/**
 * Admission control: short queues, fair shares of workspaces, and early refusal of requests that
 * cannot meet their deadline. This package depends on limits, peer, profile, time and verdicts.
 */
package org.galenapost.core.admission;
