package org.galenapost.core.rollout;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/** Messages between daemons about roll-outs. */
public final class RolloutMessage {

  private RolloutMessage() {}

  /**
   * Tells which orders the store holds.
   *
   * @param revision the revision of the store up to which they are complete
   * @param orders all orders
   */
  public record Orders(long revision, List<RolloutOrder> orders) implements PeerMessage {
    /** Copies the list. */
    public Orders {
      orders = List.copyOf(orders);
    }
  }

  /**
   * Reports the results of one daemon to the coordinator, as totals since it heard of the order.
   *
   * @param service the service
   * @param target the version on trial
   * @param incarnation tells the starts of a daemon apart
   * @param sequence rises with each report of an incarnation
   * @param stage the stage that the daemon acts by
   * @param othersInProgress the sends to other versions that have not ended
   * @param results the results
   */
  public record Report(
      String service,
      String target,
      long incarnation,
      long sequence,
      RolloutStage stage,
      int othersInProgress,
      RolloutResults results)
      implements PeerMessage {}

  /**
   * Tells the stage of a roll-out. Permits sends to the target for the time of the lease.
   *
   * @param service the service
   * @param target the version on trial
   * @param stage the stage
   * @param elapsedMs the time since the roll-out began, in milliseconds
   */
  public record Lease(String service, String target, RolloutStage stage, long elapsedMs)
      implements PeerMessage {}
}
