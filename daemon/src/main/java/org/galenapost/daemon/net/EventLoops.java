package org.galenapost.daemon.net;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.galenapost.daemon.service.Service;

/** The few threads that all listeners and clients of the daemon share. */
public final class EventLoops implements Service {

  private static final long QUIET_PERIOD_MS = 0;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final EventLoopGroup group;

  /** Creates the event loops; threads start with their first task. */
  public EventLoops(int threads) {
    this.group = newGroup(threads);
  }

  // AsyncHttpClient recognizes its transport by this class.
  @SuppressWarnings("deprecation")
  private static EventLoopGroup newGroup(int threads) {
    return new io.netty.channel.nio.NioEventLoopGroup(
        threads, new DefaultThreadFactory("event-loop"));
  }

  /** Returns the group for bootstraps and clients. */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public String name() {
    return "event-loops";
  }

  @Override
  public void start() {}

  @Override
  public void stop() {
    group
        .shutdownGracefully(QUIET_PERIOD_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }
}
