package org.galenapost.standins.load;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Selects targets round-robin. Thread-safe. */
final class Targets {

  private final List<String> addresses;
  private final AtomicLong nextIndex = new AtomicLong();

  Targets(List<String> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  /** Returns the URL of a path on the next target. */
  String url(String path) {
    int index = (int) Math.floorMod(nextIndex.getAndIncrement(), (long) addresses.size());
    return "http://" + addresses.get(index) + path;
  }
}
