package org.galenapost.daemon.settings;

import java.util.List;

/**
 * The listener for other daemons.
 *
 * @param address the address to listen on
 * @param secret the secret that all daemons share
 * @param seeds the addresses of the daemons to contact first
 */
public record PeerSettings(
    SocketAddressSetting address, String secret, List<SocketAddressSetting> seeds) {

  private static final int MIN_SECRET_LENGTH = 16;

  /** Makes a defensive copy of the seeds. */
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
