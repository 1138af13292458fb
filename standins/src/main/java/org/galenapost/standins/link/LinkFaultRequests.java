package org.galenapost.standins.link;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The bodies of requests that set faults, and of the status response. */
final class LinkFaultRequests {

  private LinkFaultRequests() {}

  /**
   * Holds bytes back while connections stay open, like a network that loses every packet.
   *
   * @param direction the blocked direction; if absent, both directions
   */
  record Cut(CutDirection direction) {
    Cut {
      direction = direction == null ? CutDirection.BOTH : direction;
    }
  }

  /** The direction in which bytes are held back. */
  enum CutDirection {
    @JsonProperty("both")
    BOTH,
    @JsonProperty("to-target")
    TO_TARGET,
    @JsonProperty("from-target")
    FROM_TARGET
  }

  /**
   * Delays all bytes.
   *
   * @param delayMs the delay of each direction, in milliseconds; 0 removes the delay
   */
  record Delay(long delayMs) {}

  /**
   * Relays new connections to another target.
   *
   * @param target the address, such as {@code 127.0.0.1:9001}
   */
  record Target(String target) {}

  /**
   * The status of the link.
   *
   * @param target the target of new connections
   * @param connections the number of open connections
   */
  record Status(String target, int connections) {}
}
