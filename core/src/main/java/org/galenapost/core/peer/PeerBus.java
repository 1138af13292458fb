package org.galenapost.core.peer;

import java.util.Set;
import java.util.function.BiConsumer;

/** Sends messages to other daemons. Delivery is best effort, unordered and may duplicate. */
public interface PeerBus {

  /** Returns the ids of the live daemons, without this one. */
  Set<String> livePeerIds();

  /**
   * Sends a message to one daemon; a message to an unknown or unreachable daemon is dropped.
   *
   * @param daemonId the id of the receiver
   * @param message the message
   */
  void send(String daemonId, PeerMessage message);

  /**
   * Registers the handler of one message type.
   *
   * @param type the message type
   * @param handler receives the sender's id and the message, on the peer event loop
   */
  <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler);

  /** Sends a message to every live daemon. */
  default void broadcast(PeerMessage message) {
    livePeerIds().forEach(daemonId -> send(daemonId, message));
  }
}
