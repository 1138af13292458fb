package org.galenapost.daemon.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.galenapost.daemon.gateway.run.BufferBudget;
import org.galenapost.daemon.log.EventLog;

/**
 * The bytes that wait in the memory of the daemon until the caller of one connection reads them.
 * They count against the room of all answers.
 */
final class UnreadBytes implements BufferBudget.UnreadAnswer {

  private static final EventLog LOG = EventLog.of(UnreadBytes.class);

  private final BufferBudget budget;
  private final Channel channel;

  UnreadBytes(BufferBudget budget, Channel channel) {
    this.budget = budget;
    this.channel = channel;
  }

  /** Counts what the connection holds now. */
  void update() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    long bytes = unsent == null ? 0 : unsent.totalPendingWriteBytes();
    if (bytes > 0) {
      budget.holdUnread(this, bytes);
    } else {
      release();
    }
  }

  /** Counts nothing more, since the connection is closed or its caller reads again. */
  void release() {
    budget.releaseUnread(this);
  }

  @Override
  public void drop() {
    LOG.info("unread_answer_dropped").with("caller", channel.remoteAddress()).write();
    channel.close();
  }
}
