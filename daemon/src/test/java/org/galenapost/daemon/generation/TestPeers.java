package org.galenapost.daemon.generation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;

/** Connects the daemons of a test and delivers their messages synchronously. */
final class TestPeers {

  private final Map<String, Map<Class<?>, BiConsumer<String, PeerMessage>>> handlers =
      new HashMap<>();

  PeerBus bus(String selfId) {
    handlers.put(selfId, new HashMap<>());
    return new PeerBus() {
      @Override
      public Set<String> livePeerIds() {
        Set<String> peers = new HashSet<>(handlers.keySet());
        peers.remove(selfId);
        return peers;
      }

      @Override
      public void send(String daemonId, PeerMessage message) {
        BiConsumer<String, PeerMessage> handler =
            handlers.getOrDefault(daemonId, Map.of()).get(message.getClass());
        if (handler != null) {
          handler.accept(selfId, message);
        }
      }

      @Override
      public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
        handlers
            .get(selfId)
            .put(type, (sender, message) -> handler.accept(sender, type.cast(message)));
      }
    };
  }
}
