package org.galenapost.core.cell;

import java.util.Set;
import java.util.function.BiConsumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerMessage;

/** A peer bus whose live peers are limited to the daemons of this daemon's cell. */
public final class CellBus implements PeerBus {

  private final PeerBus bus;
  private final FleetCells cells;

  /** Creates a cell bus that delegates to the given bus. */
  public CellBus(PeerBus bus, FleetCells cells) {
    this.bus = bus;
    this.cells = cells;
  }

  @Override
  public Set<String> livePeerIds() {
    return cells.peers();
  }

  @Override
  public void send(String daemonId, PeerMessage message) {
    bus.send(daemonId, message);
  }

  @Override
  public <T extends PeerMessage> void onMessage(Class<T> type, BiConsumer<String, T> handler) {
    bus.onMessage(type, handler);
  }
}
