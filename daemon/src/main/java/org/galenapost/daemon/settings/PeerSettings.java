package org.galenapost.daemon.settings;

import java.util.List;

/**
 * The listener for other daemons.
 *
 * @param address where it listens
 * @param secret the secret that all daemons share
 * @param seeds addresses of daemons to meet first
 */
public record PeerSettings(
    SocketAddressSetting address, String secret, List<SocketAddressSetting> seeds) {

  private static final int MIN_SECRET_LENGTH = 16;

  /** Copies the seeds. */
  public PeerSettings {
    seeds = List.copyOf(seeds);
  }

  static PeerSettings bind(SectionReader section) {
    return new PeerSettings(
        section.listener(),
        section.secret("secret", MIN_SECRET_LENGTH),
        section.addresses("seeds"));
  }

  @Override
  public String toString() {
    return "PeerSettings[address=" + address + ", seeds=" + seeds + "]";
  }
}
