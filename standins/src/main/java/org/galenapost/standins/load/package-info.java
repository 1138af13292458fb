/**
 * The load tool. It sends open-loop arrivals from a workload file, injects the planned failures and
 * reports latencies and outcomes. It verifies every streamed answer token by token, and it sends to
 * loopback addresses only.
 */
package org.galenapost.standins.load;
