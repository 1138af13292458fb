package org.galenapost.core.prompt;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.prompt.HeldPromptsNotice.PromptRead;
import org.galenapost.core.time.Scheduler;

/**
 * Records the prompts that servers read for this daemon, and exchanges them with the other daemons
 * of the cell. Not safe for use by several threads.
 */
public final class HeldPromptsExchange implements PromptReadListener {

  /** Prompts within this delay share one notice; a daemon of a large fleet has few a second. */
  private static final Duration NOTICE_DELAY = Duration.ofMillis(500);

  /** Bounds a notice. Beyond it the oldest prompts are left out, which may be evicted first. */
  static final int MAX_READS_PER_NOTICE = 64;

  private final HeldPrompts heldPrompts;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final Deque<PromptRead> pending = new ArrayDeque<>();
  private volatile boolean isRunning;

  /**
   * Creates an exchange.
   *
   * @param heldPrompts the estimate that takes up the prompts
   * @param bus the bus to the daemons of the cell
   * @param scheduler runs timers on the event loop
   */
  public HeldPromptsExchange(HeldPrompts heldPrompts, PeerBus bus, Scheduler scheduler) {
    this.heldPrompts = heldPrompts;
    this.bus = bus;
    this.scheduler = scheduler;
  }

  /** Starts to exchange notices. */
  public void start() {
    isRunning = true;
    bus.onMessage(HeldPromptsNotice.class, (sender, notice) -> apply(notice));
  }

  /** Stops sending notices. */
  public void stop() {
    isRunning = false;
  }

  @Override
  public void onPromptRead(InstanceKey server, List<PromptPart> parts) {
    if (parts.isEmpty()) {
      return;
    }
    heldPrompts.recordOwnRead(server, parts);
    if (pending.isEmpty()) {
      scheduler.schedule(NOTICE_DELAY, this::sendNotice);
    }
    pending.add(new PromptRead(server, parts));
    if (pending.size() > MAX_READS_PER_NOTICE) {
      pending.remove();
    }
  }

  /** Forgets the prompts of a server that was lost, also those that were not sent yet. */
  public void onLost(InstanceKey server) {
    heldPrompts.forget(server);
    pending.removeIf(read -> read.server().equals(server));
  }

  private void sendNotice() {
    if (isRunning && !pending.isEmpty()) {
      bus.broadcast(new HeldPromptsNotice(List.copyOf(pending)));
    }
    pending.clear();
  }

  private void apply(HeldPromptsNotice notice) {
    notice.reads().forEach(read -> heldPrompts.recordReportedRead(read.server(), read.parts()));
  }
}
