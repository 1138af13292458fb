package org.galenapost.daemon.net;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options for TCP keep-alive probes. With them the operating system detects within a few
 * seconds that the peer of an open connection disappeared without closing it.
 */
public final class KeepAliveProbes {

  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBE_COUNT = 2;

  private KeepAliveProbes() {}

  /** Sets the options on a bootstrap or on the configuration of a client. */
  public static void set(OptionSetter setter) {
    setter.set(ChannelOption.SO_KEEPALIVE, true);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
  }

  /** Sets socket options, usually by a method reference to a bootstrap or builder. */
  public interface OptionSetter {
    /** Sets an option to a value. */
    <T> void set(ChannelOption<T> option, T value);
  }
}
