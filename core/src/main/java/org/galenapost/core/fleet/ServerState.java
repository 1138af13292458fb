package org.galenapost.core.fleet;

/** Whether a backend server accepts new work. */
public enum ServerState {
  /** Accepts new work. */
  LIVE,
  /** Drains: gets no new work, while requests in flight finish or move to other servers. */
  LEAVING
}
