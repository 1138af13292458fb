package org.galenapost.daemon.gateway;

import org.galenapost.daemon.lifecycle.Signals;

/**
 * Handles SIGHUP, whose default action ends the process. The handler is installed first of all; a
 * signal that arrives before an action is set triggers the action as soon as it is set.
 */
final class HangUpSignal {

  private Runnable action;
  private boolean hasPendingSignal;

  /** Installs the signal handler. */
  void install() {
    Signals.handle("HUP", this::onSignal);
  }

  private synchronized void onSignal() {
    if (action == null) {
      hasPendingSignal = true;
    } else {
      action.run();
    }
  }

  /** Sets the action of each signal, and runs it now if a signal has already arrived. */
  synchronized void setAction(Runnable newAction) {
    action = newAction;
    if (hasPendingSignal) {
      newAction.run();
    }
  }
}
