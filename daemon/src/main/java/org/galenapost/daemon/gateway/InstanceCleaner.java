package org.galenapost.daemon.gateway;

import java.time.Duration;
import org.galenapost.core.dispatch.BrittleServers;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceStatusBroadcaster;
import org.galenapost.core.dispatch.RequestedPauses;
import org.galenapost.core.dispatch.SendPermits;
import org.galenapost.core.dispatch.ServerLimits;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.gateway.run.InstancePaces;
import org.galenapost.daemon.service.Service;

/** Periodically discards the state of servers that are gone, so that memory stays bounded. */
final class InstanceCleaner implements Service {

  private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(10);

  private final InstanceDirectory directory;
  private final InstanceHealth health;
  private final InstanceStatusBroadcaster statusBroadcaster;
  private final RequestedPauses pauses;
  private final ServerLimits limits;
  private final BrittleServers brittleServers;
  private final SendPermits permits;
  private final InstancePaces paces;
  private final HeldPrompts heldPrompts;
  private final Scheduler scheduler;
  private volatile boolean isRunning;

  InstanceCleaner(
      InstanceDirectory directory,
      InstanceHealth health,
      InstanceStatusBroadcaster statusBroadcaster,
      RequestedPauses pauses,
      ServerLimits limits,
      BrittleServers brittleServers,
      SendPermits permits,
      InstancePaces paces,
      HeldPrompts heldPrompts,
      Scheduler scheduler) {
    this.directory = directory;
    this.health = health;
    this.statusBroadcaster = statusBroadcaster;
    this.pauses = pauses;
    this.limits = limits;
    this.brittleServers = brittleServers;
    this.permits = permits;
    this.paces = paces;
    this.heldPrompts = heldPrompts;
    this.scheduler = scheduler;
  }

  @Override
  public String name() {
    return "instance-cleaner";
  }

  @Override
  public void start() {
    isRunning = true;
    scheduler.schedule(CLEANUP_PERIOD, this::clean);
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  private void clean() {
    if (!isRunning) {
      return;
    }
    directory.removeExpired();
    health.retainOnly(directory.keys());
    statusBroadcaster.retainOnly(directory.keys());
    pauses.retainOnly(directory.keys());
    limits.retainOnly(directory.keys());
    brittleServers.retainOnly(directory.keys());
    permits.retainOnly(directory.keys());
    paces.retainOnly(directory.keys());
    heldPrompts.retainOnly(directory.keys());
    scheduler.schedule(CLEANUP_PERIOD, this::clean);
  }
}
