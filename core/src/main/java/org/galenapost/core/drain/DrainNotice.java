package org.galenapost.core.drain;

import java.util.List;
import org.galenapost.core.peer.PeerMessage;

/**
 * Sends drain orders to another daemon.
 *
 * @param orders the orders in force at the sender
 */
public record DrainNotice(List<DrainOrder> orders) implements PeerMessage {

  /** Copies the orders. */
  public DrainNotice {
    orders = List.copyOf(orders);
  }
}
