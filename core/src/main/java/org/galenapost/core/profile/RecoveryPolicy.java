package org.galenapost.core.profile;

/** Determines how a generation resumes when its backend server stops responding. */
public enum RecoveryPolicy {
  /** Starts another attempt while the unresponsive server may still recover: lowest latency. */
  HEDGE,
  /** Waits until the server is declared lost before resuming elsewhere: least extra work. */
  WAIT_THEN_MOVE
}
