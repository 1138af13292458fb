package org.galenapost.daemon.settings;

/**
 * The listener for operators.
 *
 * @param address the address to listen on
 * @param token the bearer token that operators send
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
