package org.galenapost.daemon.settings;

import java.util.Optional;

/**
 * The listener for callers.
 *
 * @param address where it listens
 * @param tls the certificate, if callers speak TLS
 */
public record CallerSettings(SocketAddressSetting address, Optional<TlsSettings> tls) {

  static CallerSettings bind(SectionReader section) {
    return new CallerSettings(
        section.listener(), section.optionalSection("tls", TlsSettings::bind));
  }
}
