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
 * Partitions the daemons and the servers of a large fleet into cells. A daemon prefers the servers
 * of its cell and reports the work that it sends there to the daemons of its cell. Each cell has
 * servers of every data centre. Daemons with the same view of the fleet compute the same partition.
 * While views differ, the only effect is that a daemon receives fewer reports. Used by one thread.
 */
public final class FleetCells {

  /** The number of daemons per cell; a fleet of less than twice as many is not split. */
  static final int DAEMONS_PER_CELL = 12;

  /**
   * The minimum number of servers in one part of a service, so that it tolerates the loss of one.
   */
  static final int MIN_SERVERS_PER_CELL = 6;

  private final String selfId;
  private final Supplier<Set<String>> livePeers;
  private final InstanceDirectory directory;
  private final Consumer<FleetCells> onChange;
  private Set<String> knownPeers = Set.of();
  private volatile Set<String> cellPeers = Set.of();
  private int cellCount = 1;
  private int ownCell;
  private long knownRevision = -1;
  private Set<InstanceKey> cellServers = Set.of();

  /**
   * Creates the partition.
   *
   * @param selfId the id of this daemon
   * @param livePeers supplies the ids of the other live daemons
   * @param directory the server instances of the fleet
   * @param onChange notified when the live daemons of a split fleet change
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

  /** Returns the number of other daemons in this daemon's cell, for the metrics. */
  public int peerCount() {
    return cellPeers.size();
  }

  /** Returns the number of cells of the fleet. */
  public int cellCount() {
    return cellCount;
  }

  /** Returns the index of this daemon's cell, starting at 0. */
  public int ownCell() {
    return ownCell;
  }

  /** Returns whether the fleet has more than one cell. */
  public boolean isSplit() {
    refreshDaemons();
    return cellCount > 1;
  }

  /**
   * Returns the ids of the daemons that share their watches of the platform with this one: those of
   * its cell, or all in a fleet that has the size of a cell; none in a smaller fleet, in which the
   * loss of two watchers is more likely and saves little.
   */
  public Set<String> watchPeers() {
    return hasManyDaemons() ? cellPeers : Set.of();
  }

  /** Returns whether the fleet has at least as many daemons as a cell. */
  public boolean hasManyDaemons() {
    refreshDaemons();
    return cellPeers.size() + 1 >= DAEMONS_PER_CELL;
  }

  /** Returns the ids of the other daemons in this daemon's cell. */
  public Set<String> peers() {
    refreshDaemons();
    return cellPeers;
  }

  /** Returns whether a server belongs to this daemon's cell. */
  public boolean contains(ServerInstance instance) {
    refreshDaemons();
    if (cellCount == 1) {
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
    int cellsBefore = cellCount;
    cellCount = Math.max(1, daemons.size() / DAEMONS_PER_CELL);
    ownCell = daemons.indexOf(selfId) % cellCount;
    Set<String> peers = new HashSet<>();
    for (int i = ownCell; i < daemons.size(); i += cellCount) {
      peers.add(daemons.get(i));
    }
    peers.remove(selfId);
    cellPeers = Set.copyOf(peers);
    knownRevision = -1;
    if (cellCount > 1 || cellsBefore > 1) {
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
    byService.values().forEach(instances -> addOwnInstances(instances, own));
    cellServers = own;
  }

  /** Assigns addresses round-robin per data centre, as restarted servers keep their address. */
  private void addOwnInstances(List<ServerInstance> instances, Set<InstanceKey> own) {
    Map<String, TreeSet<String>> addresses = new TreeMap<>();
    for (ServerInstance instance : instances) {
      addresses
          .computeIfAbsent(instance.dataCentre(), name -> new TreeSet<>())
          .add(instance.address());
    }
    int servers = addresses.values().stream().mapToInt(Set::size).sum();
    int parts = Math.max(1, Math.min(cellCount, servers / MIN_SERVERS_PER_CELL));
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
