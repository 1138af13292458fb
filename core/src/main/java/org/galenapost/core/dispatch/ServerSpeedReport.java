package org.galenapost.core.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports what the sender measured of the speeds of servers since its last report. Sums are totals,
 * so that each replaces the earlier one of the same server and a lost report costs nothing.
 *
 * @param sums the sums, one for each server with a new sample
 */
public record ServerSpeedReport(List<Sum> sums) implements PeerMessage {

  /** Copies the sums. */
  public ServerSpeedReport {
    sums = List.copyOf(sums);
  }

  /**
   * The recent runs of one server that the sender measured.
   *
   * @param server the server
   * @param tokens the prompt tokens that the server read, weighted by age
   * @param readMs the time in which it read them, weighted by age, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Sum(InstanceKey server, double tokens, double readMs) {
    /** Checks that the server is present. */
    public Sum {
      Objects.requireNonNull(server, "server");
    }
  }
}
