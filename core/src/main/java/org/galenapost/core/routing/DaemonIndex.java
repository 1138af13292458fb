package org.galenapost.core.routing;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import org.galenapost.core.hashing.Rendezvous;

/** Finds which daemons a server picks, in one pass over the daemons and without sorting them. */
final class DaemonIndex {

  private final int daemonsPerServer;
  private final List<DaemonSite> daemons;
  private final long[] hashes;
  private final int[] dataCentreIndexes;
  private final int dataCentreCount;

  DaemonIndex(Collection<DaemonSite> daemons, int daemonsPerServer) {
    this.daemonsPerServer = daemonsPerServer;
    this.daemons = List.copyOf(daemons);
    this.hashes =
        this.daemons.stream().mapToLong(site -> Rendezvous.hash(site.daemonId())).toArray();
    List<String> names = this.daemons.stream().map(DaemonSite::dataCentre).distinct().toList();
    this.dataCentreIndexes =
        this.daemons.stream().mapToInt(site -> names.indexOf(site.dataCentre())).toArray();
    this.dataCentreCount = names.size();
  }

  int indexOf(DaemonSite daemon) {
    return daemons.indexOf(daemon);
  }

  /**
   * Returns whether a server picks a daemon: it takes the heaviest daemon of each data centre, in
   * order of weight, and if there are too few data centres, the heaviest of the others.
   */
  boolean isPicked(int daemon, long serverHash) {
    int[] heaviest = heaviestPerDataCentre(serverHash);
    long ownWeight = weight(daemon, serverHash);
    boolean isHeaviestOfPlace = heaviest[dataCentreIndexes[daemon]] == daemon;
    long heavier =
        isHeaviestOfPlace
            ? Arrays.stream(heaviest).filter(i -> weight(i, serverHash) > ownWeight).count()
            : dataCentreCount + heavierOthers(heaviest, ownWeight, serverHash);
    return heavier < daemonsPerServer;
  }

  private int[] heaviestPerDataCentre(long serverHash) {
    int[] heaviest = new int[dataCentreCount];
    Arrays.fill(heaviest, -1);
    for (int i = 0; i < hashes.length; i++) {
      int current = heaviest[dataCentreIndexes[i]];
      if (current < 0 || weight(i, serverHash) > weight(current, serverHash)) {
        heaviest[dataCentreIndexes[i]] = i;
      }
    }
    return heaviest;
  }

  private long heavierOthers(int[] heaviest, long ownWeight, long serverHash) {
    if (dataCentreCount >= daemonsPerServer) {
      return 0;
    }
    long count = 0;
    for (int i = 0; i < hashes.length; i++) {
      if (heaviest[dataCentreIndexes[i]] != i && weight(i, serverHash) > ownWeight) {
        count++;
      }
    }
    return count;
  }

  private long weight(int daemon, long serverHash) {
    return Rendezvous.weight(serverHash, hashes[daemon]);
  }
}
