package org.galenapost.core.hashing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks nodes by rendezvous hashing: adding or removing a node moves only the keys of that node.
 */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /** Returns the weight of a node for a key, which is the same in every process. */
  public static long weight(String key, String node) {
    return weight(hash(key), hash(node));
  }

  /**
   * Returns the nodes in descending order of weight.
   *
   * @param key the key to place
   * @param nodes the nodes to rank
   * @param id returns the id of a node
   */
  public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> id) {
    record Weighted<T>(long weight, String id, T node) {}
    Comparator<Weighted<T>> order =
        Comparator.<Weighted<T>>comparingLong(Weighted::weight)
            .reversed()
            .thenComparing(Weighted::id);
    return nodes.stream()
        .map(node -> new Weighted<>(weight(key, id.apply(node)), id.apply(node), node))
        .sorted(order)
        .map(Weighted::node)
        .toList();
  }

  /**
   * Returns the node with the highest weight for a key. Processes with the same candidates choose
   * the same node.
   *
   * @param key the key to place
   * @param ownId the id of this node, always a candidate
   * @param otherIds the ids of the other candidates
   */
  public static String choose(String key, String ownId, Collection<String> otherIds) {
    long keyHash = hash(key);
    String chosen = ownId;
    long highest = weight(keyHash, hash(ownId));
    for (String otherId : otherIds) {
      long weight = weight(keyHash, hash(otherId));
      if (weight > highest || (weight == highest && otherId.compareTo(chosen) < 0)) {
        chosen = otherId;
        highest = weight;
      }
    }
    return chosen;
  }

  /** Returns the weight of a node for a key, given the hashes of both. */
  public static long weight(long keyHash, long nodeHash) {
    return mix(keyHash ^ Long.rotateLeft(nodeHash, 31));
  }

  /** Returns the hash of a key or of a node's id. */
  public static long hash(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
