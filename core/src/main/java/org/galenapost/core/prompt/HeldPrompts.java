package org.galenapost.core.prompt;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.time.MonotonicClock;

/**
 * Estimates which parts of prompts each server still holds. The parts that a server read most
 * recently are kept, as many as fit into the memory that its runs do not take. Parts belong to one
 * start of a server, so that nothing is held after a restart. Not safe for use by several threads.
 */
public final class HeldPrompts {

  /**
   * The parts that are remembered of one server. An engine of 88,000 tokens of memory has room for
   * the prompts of about ten sessions of 8,000 tokens, of a few parts each.
   */
  static final int MAX_PARTS_PER_SERVER = 64;

  /**
   * The servers of which parts are remembered; the servers of some cells. Those from which nothing
   * was learnt for longest are forgotten first.
   */
  static final int MAX_SERVERS = 512;

  /**
   * The age at which half of the parts are taken to be gone. 22 prompts a second of 8,200 tokens at
   * 84 servers replace half of the 88,000 tokens of a server's memory in 20 s.
   */
  private static final Duration HALF_LIFE = Duration.ofSeconds(20);

  /**
   * How long notices about a server are ignored after it was lost. They may have been sent before
   * the loss: a notice is delayed by half a second at most.
   */
  private static final Duration IGNORE_AFTER_LOSS = Duration.ofSeconds(1);

  private final MonotonicClock clock;
  private final Map<InstanceKey, ServerParts> servers = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<InstanceKey, Long> lostNanos = new HashMap<>();

  /** Creates an estimate without any parts. */
  public HeldPrompts(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Records that a server has read a prompt for this daemon. */
  public void recordOwnRead(InstanceKey server, List<PromptPart> parts) {
    if (parts.isEmpty()) {
      return;
    }
    servers.computeIfAbsent(server, key -> new ServerParts()).read(parts, clock.nanos());
    if (servers.size() > MAX_SERVERS) {
      servers.remove(servers.keySet().iterator().next());
    }
  }

  /** Records a prompt that a server has read for another daemon. */
  public void recordReportedRead(InstanceKey server, List<PromptPart> parts) {
    Long lost = lostNanos.get(server);
    if (lost == null || clock.since(lost).compareTo(IGNORE_AFTER_LOSS) >= 0) {
      lostNanos.remove(server);
      recordOwnRead(server, parts);
    }
  }

  /** Forgets the parts of a server that was lost, as its memory may be gone. */
  public void forget(InstanceKey server) {
    servers.remove(server);
    lostNanos.put(server, clock.nanos());
  }

  /** Forgets all servers except the given ones. */
  public void retainOnly(Set<InstanceKey> instances) {
    servers.keySet().retainAll(instances);
    lostNanos.keySet().retainAll(instances);
  }

  /**
   * Returns the tokens that a server is expected to hold of the beginning of a prompt: for each
   * part before the first missing one, its tokens times the chance that it is still there.
   *
   * @param server the server instance
   * @param parts the parts of the prompt, in their order
   * @param usedTokens the memory that runs take at the server, in tokens
   * @param memoryTokens the memory of the server, in tokens
   */
  public double expectedTokens(
      InstanceKey server, List<PromptPart> parts, long usedTokens, long memoryTokens) {
    ServerParts held = parts.isEmpty() ? null : servers.get(server);
    if (held == null || memoryTokens <= 0) {
      return 0;
    }
    long freeTokens = Math.max(0, memoryTokens - usedTokens);
    held.evictBeyond(freeTokens);
    double freeShare = Math.min(1, (double) freeTokens / memoryTokens);
    double chance = freeShare;
    double tokens = 0;
    for (PromptPart part : parts) {
      HeldPart heldPart = held.parts.get(part.idHash());
      if (heldPart == null) {
        break;
      }
      // A part is of use only with all parts before it, so its chance is never above theirs.
      chance = Math.min(chance, freeShare * chanceAtAge(clock.since(heldPart.readNanos)));
      tokens += chance * part.tokens();
    }
    return tokens;
  }

  /** Returns the time since a server has read a prompt; empty if nothing is known to be held. */
  public Optional<Duration> sinceLastRead(InstanceKey server) {
    return Optional.ofNullable(servers.get(server))
        .filter(held -> !held.parts.isEmpty())
        .map(held -> clock.since(held.lastReadNanos));
  }

  private static double chanceAtAge(Duration age) {
    return Math.pow(2, -(double) age.toNanos() / HALF_LIFE.toNanos());
  }

  /** Returns the number of parts that are remembered of all servers. */
  public long partCount() {
    return servers.values().stream().mapToLong(server -> server.parts.size()).sum();
  }

  private record HeldPart(long tokens, long readNanos) {}

  /** The parts of one server, the least recently read one first. */
  private static final class ServerParts {

    private final Map<Long, HeldPart> parts = new LinkedHashMap<>();
    private long tokens;
    private long lastReadNanos;

    /** Adds the parts so that the last one is evicted first, since the others are needed by it. */
    void read(List<PromptPart> read, long nowNanos) {
      lastReadNanos = nowNanos;
      int count = Math.min(read.size(), MAX_PARTS_PER_SERVER);
      for (int index = count - 1; index >= 0; index--) {
        PromptPart part = read.get(index);
        remove(part.idHash());
        parts.put(part.idHash(), new HeldPart(part.tokens(), nowNanos));
        tokens += part.tokens();
      }
      while (parts.size() > MAX_PARTS_PER_SERVER) {
        removeEldest();
      }
    }

    /** Evicts parts until the others fit into the free memory; they are gone for good. */
    void evictBeyond(long freeTokens) {
      while (tokens > freeTokens && !parts.isEmpty()) {
        removeEldest();
      }
    }

    private void remove(long idHash) {
      HeldPart removed = parts.remove(idHash);
      if (removed != null) {
        tokens -= removed.tokens();
      }
    }

    private void removeEldest() {
      Iterator<Map.Entry<Long, HeldPart>> eldest = parts.entrySet().iterator();
      tokens -= eldest.next().getValue().tokens();
      eldest.remove();
    }
  }
}
