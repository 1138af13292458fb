package org.galenapost.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A limited cache of prefixes that evicts the least recently used block. Not safe for threads. */
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

  /** Returns how many tokens of the text are cached, and marks them as used. */
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

  /** Stores all blocks of the text. */
  void store(String text) {
    List<String> digests = PrefixBlocks.digests(text);
    for (int i = digests.size() - 1; i >= 0; i--) {
      if (blocks.put(digests.get(i), Boolean.TRUE) == null) {
        events.add(CacheEventLog.Type.STORED, digests.get(i));
      }
    }
    evict();
  }

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
