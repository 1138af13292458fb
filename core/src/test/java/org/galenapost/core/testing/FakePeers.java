package org.galenapost.core.testing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;

/** Delivers messages between fake daemons synchronously. */
public final class FakePeers {

  private final Map<String, Map<Class<?>, BiConsumer<String, PeerMessage>>> handlers =
      new HashMap<>();
  private final Set<String> cutDaemonIds = new HashSet<>();

  public PeerBus bus(String selfId) {
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
        if (cutDaemonIds.contains(selfId) || cutDaemonIds.contains(daemonId)) {
          return;
        }
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

  /** Drops all messages from and to a daemon, or no longer. */
  public void setCut(String daemonId, boolean isCut) {
    if (isCut) {
      cutDaemonIds.add(daemonId);
    } else {
      cutDaemonIds.remove(daemonId);
    }
  }

  public void stop(String daemonId) {
    handlers.remove(daemonId);
  }
}
