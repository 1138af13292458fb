package org.galenapost.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.peer.PeerMessage;

/**
 * The losses that count against one request. In a merge the higher epoch replaces the lower one;
 * updates of the same epoch are combined.
 *
 * @param digest the digest of the request
 * @param epoch the number of times that losses of the request were cleared or retracted
 * @param deaths the losses in this epoch
 */
public record SuspicionUpdate(RequestDigest digest, long epoch, List<ServerLoss> deaths)
    implements PeerMessage {

  private static final int REFUSAL_WEIGHT = 4;
  private static final int MAX_LOSSES_WITHOUT_ISOLATION = 1;

  /** Copies the losses. */
  public SuspicionUpdate {
    Objects.requireNonNull(digest, "digest");
    deaths = List.copyOf(deaths);
  }

  static SuspicionUpdate none(RequestDigest digest) {
    return new SuspicionUpdate(digest, 0, List.of());
  }

  SuspicionUpdate with(ServerLoss loss) {
    return merge(new SuspicionUpdate(digest, epoch, List.of(loss)));
  }

  SuspicionUpdate cleared() {
    return new SuspicionUpdate(digest, epoch + 1, List.of());
  }

  SuspicionUpdate without(List<ServerLoss> retracted) {
    List<ServerLoss> kept =
        deaths.stream().filter(loss -> retracted.stream().noneMatch(loss::isSameLossAs)).toList();
    return new SuspicionUpdate(digest, epoch + 1, kept);
  }

  /** Returns this suspicion without the losses of some servers. */
  SuspicionUpdate withoutServers(Predicate<String> isLeftOut) {
    return new SuspicionUpdate(
        digest, epoch, deaths.stream().filter(loss -> !isLeftOut.test(loss.serverId())).toList());
  }

  SuspicionUpdate merge(SuspicionUpdate other) {
    if (other.epoch != epoch) {
      return other.epoch > epoch ? other : this;
    }
    List<ServerLoss> merged = new ArrayList<>(deaths);
    other.deaths.forEach(loss -> addOrMerge(merged, loss));
    return new SuspicionUpdate(digest, epoch, merged);
  }

  private static void addOrMerge(List<ServerLoss> losses, ServerLoss loss) {
    for (int i = 0; i < losses.size(); i++) {
      if (losses.get(i).isSameLossAs(loss)) {
        losses.set(i, losses.get(i).merge(loss));
        return;
      }
    }
    losses.add(loss);
  }

  /** Returns whether servers were lost while the request ran on them. */
  boolean isSuspect() {
    return !deaths.isEmpty();
  }

  /** Returns whether the request must be isolated from other suspects. */
  boolean needsIsolation() {
    return deaths.size() > MAX_LOSSES_WITHOUT_ISOLATION
        || deaths.stream().anyMatch(ServerLoss::isEarly);
  }

  /** Returns whether the request is refused as the cause of the losses. */
  boolean isRefused() {
    int weight = deaths.stream().mapToInt(ServerLoss::weight).sum();
    return weight >= REFUSAL_WEIGHT && deaths.stream().anyMatch(ServerLoss::isDecisive);
  }

  /** Returns the highest offset at which a server was lost. */
  int maxLossOffset() {
    return deaths.stream().mapToInt(ServerLoss::offset).max().orElse(0);
  }
}
