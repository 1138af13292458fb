package org.galenapost.core.drain;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.RandomSource;

/** Passes orders on to other daemons. */
public interface DrainNoticeSender {

  /** Sends a notice to every live daemon. */
  void sendToAll(DrainNotice notice);

  /** Sends a notice to one live daemon, another one each time. */
  void sendToOne(DrainNotice notice);

  /** Returns the spread over the peer bus. */
  static DrainNoticeSender overPeers(PeerBus bus, RandomSource random) {
    return new DrainNoticeSender() {
      @Override
      public void sendToAll(DrainNotice notice) {
        bus.broadcast(notice);
      }

      @Override
      public void sendToOne(DrainNotice notice) {
        List<String> peers = new ArrayList<>(bus.livePeerIds());
        if (!peers.isEmpty()) {
          bus.send(peers.get(random.nextIndex(peers.size())), notice);
        }
      }
    };
  }
}
