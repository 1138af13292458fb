package org.galenapost.daemon.lifecycle;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.galenapost.daemon.log.EventLog;

/** Holds the daemon's lifecycle phase and decides whether the daemon accepts requests. */
public final class DaemonState {

  private static final EventLog LOG = EventLog.of(DaemonState.class);

  private final AtomicReference<DaemonPhase> phase = new AtomicReference<>(DaemonPhase.STARTING);
  private final BooleanSupplier hasConfiguration;

  /**
   * Creates a state in the phase {@link DaemonPhase#STARTING}.
   *
   * @param hasConfiguration returns whether a configuration is active, without which the daemon is
   *     not ready
   */
  public DaemonState(BooleanSupplier hasConfiguration) {
    this.hasConfiguration = hasConfiguration;
  }

  /** Returns the current phase. */
  public DaemonPhase phase() {
    return phase.get();
  }

  /** Enters a phase, unless the daemon is already in that phase or a later one. */
  public void enter(DaemonPhase next) {
    DaemonPhase previous =
        phase.getAndUpdate(current -> current.compareTo(next) < 0 ? next : current);
    if (previous.compareTo(next) < 0) {
      LOG.info("phase_entered").with("phase", next.wireName()).write();
    }
  }

  /** Returns whether connections are closed after their current response. */
  public boolean isDraining() {
    return phase().compareTo(DaemonPhase.LEAVING) >= 0;
  }

  /** Returns whether new requests are refused because the daemon is draining or stopped. */
  public boolean refusesNewRequests() {
    return phase().compareTo(DaemonPhase.DRAINING) >= 0;
  }

  /** Returns whether a configuration is active. */
  public boolean hasConfiguration() {
    return hasConfiguration.getAsBoolean();
  }

  /** Returns why the daemon is not ready for requests, or empty if it is ready. */
  public Optional<String> notReadyReason() {
    if (phase() != DaemonPhase.SERVING) {
      return Optional.of(phase().wireName());
    }
    return hasConfiguration() ? Optional.empty() : Optional.of("no configuration in force");
  }
}
