package org.galenapost.daemon.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.log.EventLog;

/** Hands each received message to the handlers of its type. */
final class MessageDispatcher {

  private static final EventLog LOG = EventLog.of(MessageDispatcher.class);

  private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> handlers =
      new ConcurrentHashMap<>();

  <T extends PeerMessage> void add(Class<T> type, BiConsumer<String, T> handler) {
    handlers
        .computeIfAbsent(type, key -> new CopyOnWriteArrayList<>())
        .add((senderId, message) -> handler.accept(senderId, type.cast(message)));
  }

  void dispatch(String senderId, PeerMessage message) {
    for (BiConsumer<String, PeerMessage> handler :
        handlers.getOrDefault(message.getClass(), List.of())) {
      try {
        handler.accept(senderId, message);
      } catch (RuntimeException e) {
        LOG.error("peer_handler_failed")
            .with("type", message.getClass().getSimpleName())
            .with("sender", senderId)
            .write(e);
      }
    }
  }
}
