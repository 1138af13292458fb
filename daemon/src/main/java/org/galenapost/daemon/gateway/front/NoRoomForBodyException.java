package org.galenapost.daemon.gateway.front;

/** Marks a request whose body was not kept, as those of others leave no room for it. */
final class NoRoomForBodyException extends Exception {

  private static final long serialVersionUID = 1;

  NoRoomForBodyException() {
    super("no room for the body of a request", null, false, false);
  }
}
