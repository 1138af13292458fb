package org.galenapost.daemon.settings;

import java.util.Optional;

/**
 * The listener for callers.
 *
 * @param address the address to listen on
 * @param tls the TLS settings, or empty for plain HTTP
 */
public record CallerSettings(SocketAddressSetting address, Optional<TlsSettings> tls) {

  static CallerSettings bind(SectionReader section) {
    return new CallerSettings(
        section.listener(), section.optionalSection("tls", TlsSettings::bind));
  }
}
