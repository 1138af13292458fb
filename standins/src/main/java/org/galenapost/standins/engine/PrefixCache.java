package org.galenapost.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A bounded prefix cache that evicts the least recently used block. Not thread-safe. */
final class PrefixCache {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  private final int maxBlocks;
  private final CacheEventLog events;
  private final Map<String, Boolean> blocks =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  PrefixCache(int maxBlocks, CacheEventLog events) {
    this.maxBlocks = maxBlocks;
    this.events = events;
  }

  /** Returns the number of cached tokens at the start of the text and marks them as used. */
  int cachedTokens(String text) {
    int cached = 0;
    for (String digest : PrefixBlocks.digests(text)) {
      if (blocks.get(digest) == null) {
        break;
      }
      cached += PrefixBlocks.BLOCK_TOKENS;
    }
    return cached;
  }

  /** Stores all whole blocks of the text and evicts what exceeds the capacity. */
  void store(String text) {
    List<String> digests = PrefixBlocks.digests(text);
    // Stores the longest prefix first, so that eviction also starts with the longest.
    for (int i = digests.size() - 1; i >= 0; i--) {
      if (blocks.put(digests.get(i), Boolean.TRUE) == null) {
        events.add(CacheEventLog.Type.STORED, digests.get(i));
      }
    }
    evict();
  }

  /** Returns the used fraction of the capacity, from 0 to 1. */
  double usedFraction() {
    return maxBlocks == 0 ? 1 : (double) blocks.size() / maxBlocks;
  }

  private void evict() {
    Iterator<String> oldestFirst = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      String digest = oldestFirst.next();
      oldestFirst.remove();
      events.add(CacheEventLog.Type.EVICTED, digest);
    }
  }
}
