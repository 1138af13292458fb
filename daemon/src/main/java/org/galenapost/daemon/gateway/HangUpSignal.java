package org.galenapost.daemon.gateway;

import org.galenapost.daemon.lifecycle.Signals;

/**
 * SIGHUP, whose default action ends the process. It is caught from the first moment of the program
 * on; one that comes before there is anything to do about it is made up for.
 */
final class HangUpSignal {

  private Runnable action;
  private boolean hasPendingSignal;

  /** Begins to catch the signal. */
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

  /** Sets what each signal does from now on; an earlier one does it at once. */
  synchronized void setAction(Runnable newAction) {
    action = newAction;
    if (hasPendingSignal) {
      newAction.run();
    }
  }
}
