package org.galenapost.core.quarantine;

import org.galenapost.core.generation.RequestDigest;

/** Protects servers from requests that crash them. */
public interface RequestGuard {

  /** A guard that suspects no request. */
  RequestGuard NONE =
      new RequestGuard() {
        @Override
        public Placement place(RequestDigest digest) {
          return new Placement.Anywhere();
        }

        @Override
        public boolean claim(String serverId, RequestDigest digest) {
          return true;
        }

        @Override
        public void release(String serverId, RequestDigest digest) {}

        @Override
        public void onServerLost(
            String serverId, RequestDigest digest, int offset, boolean isEarly) {}

        @Override
        public void onSuccess(RequestDigest digest) {}
      };

  /** Says where a request may run now. */
  Placement place(RequestDigest digest);

  /**
   * Puts a suspect on a server.
   *
   * @return whether it is the only suspect there
   */
  boolean claim(String serverId, RequestDigest digest);

  /** Ends the isolation of a suspect that has proved harmless so far, has ended or has left. */
  void release(String serverId, RequestDigest digest);

  /**
   * Holds the death of a server against a request that ran there.
   *
   * @param offset the next offset of the request
   * @param isEarly whether the request had brought no token on the server
   */
  void onServerLost(String serverId, RequestDigest digest, int offset, boolean isEarly);

  /** Clears a request that was answered in full. */
  void onSuccess(RequestDigest digest);
}
