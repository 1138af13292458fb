package org.galenapost.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;

/**
 * Splits the daemons and the servers of a large fleet into as many cells. A daemon works with the
 * servers of its cell first, and tells the daemons of its cell what it does there. Each cell has
 * servers of every data centre. Daemons that know the same fleet split it alike; while they do not,
 * a daemon only knows less of what others do. Used by one thread.
 */
public final class FleetCells {

  /** The daemons of a cell, about as many as the largest fleet that is not split. */
  static final int DAEMONS_PER_CELL = 12;

  /** Services with fewer servers a cell are split into fewer parts, so that one can be lost. */
  static final int MIN_SERVERS_PER_CELL = 6;

  private final String selfId;
  private final Supplier<Set<String>> livePeers;
  private final InstanceDirectory directory;
  private final Consumer<FleetCells> onChange;
  private Set<String> knownPeers = Set.of();
  private volatile Set<String> cellPeers = Set.of();
  private int cells = 1;
  private int ownCell;
  private long knownRevision = -1;
  private Set<InstanceKey> cellServers = Set.of();

  /**
   * Creates the split.
   *
   * @param selfId this daemon
   * @param livePeers the ids of the other daemons believed to be alive
   * @param directory the servers
   * @param onChange told when this daemon's cell is another one
   */
  public FleetCells(
      String selfId,
      Supplier<Set<String>> livePeers,
      InstanceDirectory directory,
      Consumer<FleetCells> onChange) {
    this.selfId = selfId;
    this.onChange = onChange;
    this.livePeers = livePeers;
    this.directory = directory;
  }

  /** Returns the number of the other daemons of this daemon's cell, for the metrics. */
  public int peerCount() {
    return cellPeers.size();
  }

  /** Returns the number of cells of the fleet. */
  public int cellCount() {
    return cells;
  }

  /** Returns the number of this daemon's cell, from 0. */
  public int ownCell() {
    return ownCell;
  }

  /** Returns whether the fleet has more than one cell. */
  public boolean isSplit() {
    refreshDaemons();
    return cells > 1;
  }

  /** Returns the other daemons of this daemon's cell. */
  public Set<String> peers() {
    refreshDaemons();
    return cellPeers;
  }

  /** Returns whether a server belongs to this daemon's cell. */
  public boolean contains(ServerInstance instance) {
    refreshDaemons();
    if (cells == 1) {
      return true;
    }
    refreshServers();
    return cellServers.contains(instance.key());
  }

  private void refreshDaemons() {
    Set<String> live = livePeers.get();
    if (live.equals(knownPeers)) {
      return;
    }
    knownPeers = Set.copyOf(live);
    List<String> daemons = new ArrayList<>(new TreeSet<>(live));
    daemons.remove(selfId);
    daemons.add(selfId);
    daemons.sort(null);
    int cellsBefore = cells;
    cells = Math.max(1, daemons.size() / DAEMONS_PER_CELL);
    ownCell = daemons.indexOf(selfId) % cells;
    Set<String> peers = new HashSet<>();
    for (int i = ownCell; i < daemons.size(); i += cells) {
      peers.add(daemons.get(i));
    }
    peers.remove(selfId);
    cellPeers = Set.copyOf(peers);
    knownRevision = -1;
    if (cells > 1 || cellsBefore > 1) {
      onChange.accept(this);
    }
  }

  private void refreshServers() {
    if (knownRevision == directory.revision()) {
      return;
    }
    knownRevision = directory.revision();
    Map<String, List<ServerInstance>> byService = new HashMap<>();
    for (ServerInstance instance : directory.instances()) {
      byService.computeIfAbsent(instance.service(), name -> new ArrayList<>()).add(instance);
    }
    Set<InstanceKey> own = new HashSet<>();
    byService.values().forEach(instances -> addOwn(instances, own));
    cellServers = own;
  }

  /** Deals the addresses of each data centre out in order, since servers return to theirs. */
  private void addOwn(List<ServerInstance> instances, Set<InstanceKey> own) {
    Map<String, TreeSet<String>> addresses = new TreeMap<>();
    for (ServerInstance instance : instances) {
      addresses
          .computeIfAbsent(instance.dataCentre(), name -> new TreeSet<>())
          .add(instance.address());
    }
    int servers = addresses.values().stream().mapToInt(Set::size).sum();
    int parts = Math.max(1, Math.min(cells, servers / MIN_SERVERS_PER_CELL));
    Set<String> ownAddresses = new HashSet<>();
    for (TreeSet<String> dataCentre : addresses.values()) {
      int index = 0;
      for (String address : dataCentre) {
        if (index++ % parts == ownCell % parts) {
          ownAddresses.add(address);
        }
      }
    }
    instances.stream()
        .filter(instance -> ownAddresses.contains(instance.address()))
        .forEach(instance -> own.add(instance.key()));
  }
}
