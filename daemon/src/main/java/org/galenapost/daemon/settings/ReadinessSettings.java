package org.galenapost.daemon.settings;

/**
 * The listener for the readiness probes of the balancer.
 *
 * @param address the address to listen on
 * @param path the path of the probe
 */
public record ReadinessSettings(SocketAddressSetting address, String path) {

  static ReadinessSettings bind(SectionReader section) {
    return new ReadinessSettings(section.listener(), section.text("path"));
  }
}
