package org.galenapost.daemon.net;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options with which the system finds out within a few seconds that the other side of an
 * open connection is gone without a word.
 */
public final class KeepAliveProbes {

  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBE_COUNT = 2;

  private KeepAliveProbes() {}

  /** Sets the options through a bootstrap or a client's configuration. */
  public static void set(OptionSetter setter) {
    setter.set(ChannelOption.SO_KEEPALIVE, true);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
    setter.set(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
  }

  /** Sets one option. */
  public interface OptionSetter {
    /** Sets an option to a value. */
    <T> void set(ChannelOption<T> option, T value);
  }
}
