package org.galenapost.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.peer.PeerMessage;

/**
 * What is held against one request; the higher epoch wins, equal epochs add up.
 *
 * @param digest the request
 * @param epoch how often the request was cleared
 * @param deaths the deaths since it was last cleared
 */
public record SuspicionUpdate(RequestDigest digest, long epoch, List<ServerLoss> deaths)
    implements PeerMessage {

  private static final int REFUSAL_WEIGHT = 4;
  private static final int MAX_DEATHS_AT_LARGE = 1;

  /** Copies the deaths. */
  public SuspicionUpdate {
    Objects.requireNonNull(digest, "digest");
    deaths = List.copyOf(deaths);
  }

  static SuspicionUpdate none(RequestDigest digest) {
    return new SuspicionUpdate(digest, 0, List.of());
  }

  SuspicionUpdate with(ServerLoss death) {
    return merge(new SuspicionUpdate(digest, epoch, List.of(death)));
  }

  SuspicionUpdate cleared() {
    return new SuspicionUpdate(digest, epoch + 1, List.of());
  }

  SuspicionUpdate without(List<ServerLoss> retracted) {
    List<ServerLoss> kept =
        deaths.stream().filter(death -> retracted.stream().noneMatch(death::isSameLossAs)).toList();
    return new SuspicionUpdate(digest, epoch + 1, kept);
  }

  SuspicionUpdate merge(SuspicionUpdate other) {
    if (other.epoch != epoch) {
      return other.epoch > epoch ? other : this;
    }
    List<ServerLoss> merged = new ArrayList<>(deaths);
    other.deaths.forEach(death -> add(merged, death));
    return new SuspicionUpdate(digest, epoch, merged);
  }

  private static void add(List<ServerLoss> deaths, ServerLoss death) {
    for (int i = 0; i < deaths.size(); i++) {
      if (deaths.get(i).isSameLossAs(death)) {
        deaths.set(i, deaths.get(i).merge(death));
        return;
      }
    }
    deaths.add(death);
  }

  /** Returns whether servers died while the request ran. */
  boolean isSuspect() {
    return !deaths.isEmpty();
  }

  /** Returns whether the request must run apart from other suspects. */
  boolean needsIsolation() {
    return deaths.size() > MAX_DEATHS_AT_LARGE || deaths.stream().anyMatch(ServerLoss::isEarly);
  }

  /** Returns whether the request is held to be the cause of the deaths. */
  boolean isRefused() {
    int weight = deaths.stream().mapToInt(ServerLoss::weight).sum();
    return weight >= REFUSAL_WEIGHT && deaths.stream().anyMatch(ServerLoss::isDecisive);
  }

  /** Returns the furthest offset at which a server died. */
  int maxLossOffset() {
    return deaths.stream().mapToInt(ServerLoss::offset).max().orElse(0);
  }
}
