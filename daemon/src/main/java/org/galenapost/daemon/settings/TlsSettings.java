package org.galenapost.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * The TLS certificate of a listener. The daemon reloads the files when they change.
 *
 * @param certificateFile the certificate chain in PEM
 * @param keyFile the private key in PEM
 * @param clientCaFile the CA certificates for client certificates in PEM; if present, each caller
 *     must send a client certificate
 * @param reloadInterval how often the files are checked for changes
 */
public record TlsSettings(
    Path certificateFile, Path keyFile, Optional<Path> clientCaFile, Duration reloadInterval) {

  private static final Duration DEFAULT_RELOAD_INTERVAL = Duration.ofSeconds(10);
  private static final Duration MIN_RELOAD_INTERVAL = Duration.ofMillis(50);
  private static final Duration MAX_RELOAD_INTERVAL = Duration.ofDays(1);

  static TlsSettings bind(SectionReader section) {
    return new TlsSettings(
        section.file("certificate_file"),
        section.file("key_file"),
        section.optionalFile("client_ca_file"),
        section.durationMs(
            "reload_interval_ms",
            DEFAULT_RELOAD_INTERVAL,
            MIN_RELOAD_INTERVAL,
            MAX_RELOAD_INTERVAL));
  }
}
