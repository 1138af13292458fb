/**
 * Protection against requests that crash the servers on which they run: suspicion, isolation and
 * final refusal, shared between daemons. The package depends on generations, peers, time and
 * verdicts.
 */
package org.galenapost.core.quarantine;
