package org.galenapost.daemon.settings;

/**
 * The listener for operators.
 *
 * @param address where it listens
 * @param token the bearer token of operators
 */
public record OperatorSettings(SocketAddressSetting address, String token) {

  private static final int MIN_TOKEN_LENGTH = 16;

  static OperatorSettings bind(SectionReader section) {
    return new OperatorSettings(section.listener(), section.secret("token", MIN_TOKEN_LENGTH));
  }

  @Override
  public String toString() {
    return "OperatorSettings[address=" + address + "]";
  }
}
