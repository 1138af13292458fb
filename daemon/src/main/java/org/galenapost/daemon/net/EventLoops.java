package org.galenapost.daemon.net;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.galenapost.daemon.service.Service;

/** The event loop threads that all listeners and clients of the daemon share. */
public final class EventLoops implements Service {

  private static final long QUIET_PERIOD_MS = 0;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final EventLoopGroup group;

  /**
   * Creates the event loops. A thread starts with its first task.
   *
   * @param threads the number of threads
   */
  public EventLoops(int threads) {
    this.group = newGroup(threads);
  }

  // AsyncHttpClient selects its transport by the class of the group, so the deprecated class is
  // needed.
  @SuppressWarnings("deprecation")
  private static EventLoopGroup newGroup(int threads) {
    return new io.netty.channel.nio.NioEventLoopGroup(
        threads, new DefaultThreadFactory("event-loop"));
  }

  /** Returns the event loop group for bootstraps and clients. */
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
