package org.galenapost.cli;

import io.netty.util.NetUtil;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The address of a daemon's operator port.
 *
 * @param ip the IP address
 * @param port the TCP port
 */
public record DaemonAddress(InetAddress ip, int port) {

  private static final Pattern IP_AND_PORT = Pattern.compile("(\\[[0-9a-fA-F:.]+]|[^:]+):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final String OPTION = "--daemon";

  /** Reads {@code IP:PORT}, with an IPv6 address in brackets; names are refused. */
  public static Either<CommandFailure, DaemonAddress> parse(String text) {
    Matcher matcher = IP_AND_PORT.matcher(text);
    if (!matcher.matches()) {
      return Either.left(CommandFailure.invalidOption(OPTION, "IP:PORT", text));
    }
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(matcher.group(1));
    if (ip == null) {
      return Either.left(
          CommandFailure.invalidOption(OPTION, "an IP address, not a host name", matcher.group(1)));
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port < 1 || port > MAX_PORT) {
      return Either.left(
          CommandFailure.invalidOption(OPTION, "a port from 1 to " + MAX_PORT, matcher.group(2)));
    }
    return Either.right(new DaemonAddress(addressOf(ip), port));
  }

  /** Returns the URL of a path on the operator port. */
  String url(String path) {
    return "http://" + this + path;
  }

  @Override
  public String toString() {
    return NetUtil.toSocketAddressString(ip.getHostAddress(), port);
  }

  private static InetAddress addressOf(byte[] ip) {
    try {
      return InetAddress.getByAddress(ip);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not four or sixteen bytes", e);
    }
  }
}
