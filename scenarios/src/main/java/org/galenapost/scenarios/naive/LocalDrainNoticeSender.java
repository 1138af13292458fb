package org.galenapost.scenarios.naive;

import org.galenapost.core.drain.DrainNotice;
import org.galenapost.core.drain.DrainNoticeSender;

/** Keeps drains to the daemon that took them. */
final class LocalDrainNoticeSender implements DrainNoticeSender {

  @Override
  public void sendToAll(DrainNotice notice) {
    // No other daemon is told.
  }

  @Override
  public void sendToOne(DrainNotice notice) {
    // No other daemon is told.
  }
}
