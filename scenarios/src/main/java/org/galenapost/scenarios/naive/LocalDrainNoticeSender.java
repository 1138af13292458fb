package org.galenapost.scenarios.naive;

import org.galenapost.core.drain.DrainNotice;
import org.galenapost.core.drain.DrainNoticeSender;

/** Sends no drain notices, so only the daemon that receives a drain request applies it. */
final class LocalDrainNoticeSender implements DrainNoticeSender {

  @Override
  public void sendToAll(DrainNotice notice) {
    // The notice is dropped.
  }

  @Override
  public void sendToOne(DrainNotice notice) {
    // The notice is dropped.
  }
}
