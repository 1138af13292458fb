package org.galenapost.core.quarantine;

import org.galenapost.core.generation.RequestDigest;

/** Protects servers from requests that crash them, by isolating or refusing those requests. */
public interface RequestGuard {

  /** A guard that allows every request on any server. */
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

  /** Returns where a request may run now. */
  Placement place(RequestDigest digest);

  /**
   * Claims a server for a suspect request.
   *
   * @return whether it is the only suspect on the server
   */
  boolean claim(String serverId, RequestDigest digest);

  /**
   * Releases the claim of a suspect that has passed its proof offset, has ended or has left the
   * server.
   */
  void release(String serverId, RequestDigest digest);

  /**
   * Records the loss of a server on which the request ran.
   *
   * @param serverId the lost server
   * @param digest the request
   * @param offset the next offset of the request
   * @param isEarly whether the request had produced no token on the server
   */
  void onServerLost(String serverId, RequestDigest digest, int offset, boolean isEarly);

  /** Clears all suspicions against a request that completed. */
  void onSuccess(RequestDigest digest);
}
