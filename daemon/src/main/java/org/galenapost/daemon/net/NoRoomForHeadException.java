package org.galenapost.daemon.net;

/** Marks a message whose head was not kept, as the heads of others leave no room for it. */
public final class NoRoomForHeadException extends RuntimeException {

  private static final long serialVersionUID = 1;

  NoRoomForHeadException() {
    super("no room for the head of a message", null, false, false);
  }
}
