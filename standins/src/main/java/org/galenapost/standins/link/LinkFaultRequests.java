package org.galenapost.standins.link;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The bodies of the calls that set faults. */
final class LinkFaultRequests {

  private LinkFaultRequests() {}

  /**
   * Holds bytes back while connections stay open, as a network does that loses every packet.
   *
   * @param direction which bytes; absent means both directions
   */
  record Cut(CutDirection direction) {
    Cut {
      direction = direction == null ? CutDirection.BOTH : direction;
    }
  }

  /** Which bytes a cut holds back. */
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
   * @param delayMs the delay for each direction; 0 ends it
   */
  record Delay(long delayMs) {}

  /**
   * Sends new connections elsewhere.
   *
   * @param target the address, such as {@code 127.0.0.1:9001}
   */
  record Target(String target) {}

  /**
   * What the link does.
   *
   * @param target where new connections go
   * @param connections the number of open connections
   */
  record Status(String target, int connections) {}
}
