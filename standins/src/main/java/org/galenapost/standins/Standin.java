package org.galenapost.standins;

import java.util.OptionalInt;

/** A test stand-in for an external system. It listens on a loopback port. */
public interface Standin {

  /** Starts listening. */
  void start();

  /** Returns the port for clients. */
  int port();

  /** Returns the control port, where tests set faults, if it differs from the client port. */
  default OptionalInt controlPort() {
    return OptionalInt.empty();
  }

  /** Stops listening and closes every connection. */
  void stop();
}
