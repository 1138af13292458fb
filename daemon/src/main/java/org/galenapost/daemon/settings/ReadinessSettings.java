package org.galenapost.daemon.settings;

/**
 * The listener that the balancer asks whether the daemon may take requests.
 *
 * @param address where it listens
 * @param path the path that the balancer asks for
 */
public record ReadinessSettings(SocketAddressSetting address, String path) {

  static ReadinessSettings bind(SectionReader section) {
    return new ReadinessSettings(section.listener(), section.text("path"));
  }
}
