/**
 * Runs experiments: the same workload and failures against several variants of the system, over
 * several seeds, with one result table. Also measures the cost of the control plane and of relaying
 * streams. No other package depends on this one.
 */
package org.galenapost.scenarios.experiment;
