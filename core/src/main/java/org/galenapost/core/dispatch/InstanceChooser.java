package org.galenapost.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.time.RandomSource;

/**
 * Chooses servers by the time that a call is likely to wait there: the prompts still to be read,
 * the calls in flight, the memory left, and recent failures. Used by one thread.
 */
public final class InstanceChooser {

  /** Reading speed assumed of an engine, from the engines' sheet. */
  private static final double PROMPT_TOKENS_PER_MS = 8;

  /** What one more running call adds to the time to the first event, from the engines' sheet. */
  private static final double MS_PER_RUNNING_CALL = 10;

  /** The part of an engine's memory that placement fills; the rest is for longer answers. */
  private static final double MEMORY_FILL = 0.9;

  /** What a call waits at a full engine, about the length of one run. */
  private static final double MS_AT_FULL_ENGINE = 5_000;

  /** The part of a plain service's slots in the own data centre that is used before the others'. */
  private static final double SLOTS_BEFORE_OTHER_DATA_CENTRES = 0.5;

  /** What a call waits at a plain service whose slots are all taken, about one call's work. */
  private static final double MS_AT_FULL_SLOTS = 100;

  private static final double MS_OTHER_DATA_CENTRE = 3;

  /** The share of failed calls up to which servers count as equal; some calls fail anywhere. */
  private static final double USUAL_FAILURE_SHARE = 0.4;

  private static final double MS_PER_FAILURE_SHARE = 3_000;
  private static final double MS_LAST_RESORT = 100_000;
  private static final double MS_RANDOM = 2;

  /** The wait in the own cell from which others are tried: two prompts of the engines' sheet. */
  private static final double MS_BEFORE_OTHER_CELLS = 2_000;

  private final String dataCentre;
  private final InstanceDirectory directory;
  private final Predicate<ServerInstance> isOwnCell;
  private final ServerUseTracker ledger;
  private final InstanceHealth health;
  private final RandomSource random;

  /**
   * Creates a chooser.
   *
   * @param dataCentre the data centre of this daemon
   * @param directory the servers
   * @param isOwnCell whether this daemon hears what others do at a server
   * @param ledger what they have in hand
   * @param health which failed lately
   * @param random breaks ties
   */
  public InstanceChooser(
      String dataCentre,
      InstanceDirectory directory,
      Predicate<ServerInstance> isOwnCell,
      ServerUseTracker ledger,
      InstanceHealth health,
      RandomSource random) {
    this.dataCentre = dataCentre;
    this.directory = directory;
    this.isOwnCell = isOwnCell;
    this.ledger = ledger;
    this.health = health;
    this.random = random;
  }

  /**
   * Chooses the server of a call.
   *
   * @param service the service
   * @param demand what the call takes
   * @param excluded servers that must not be chosen
   */
  public Optional<Choice> choose(
      TargetService service, CallDemand demand, Set<InstanceKey> excluded) {
    Optional<Choice> ready =
        best(service, directory.ready(service.name()), demand, excluded, Set.of());
    return ready.isPresent()
        ? ready
        : best(service, directory.lapsed(service.name()), demand, excluded, Set.of());
  }

  /**
   * Chooses the server that keeps a copy of a run's memory, in another data centre than the run.
   *
   * @param service the service
   * @param demand what the run takes
   * @param runner the server of the run
   * @param excluded servers that must not be chosen
   */
  public Optional<ServerInstance> chooseCopyTarget(
      TargetService service, CallDemand demand, ServerInstance runner, Set<InstanceKey> excluded) {
    return best(
            service, directory.ready(service.name()), demand, excluded, Set.of(runner.dataCentre()))
        .filter(choice -> choice.expectedWaitMs() < MS_AT_FULL_ENGINE)
        .map(Choice::instance);
  }

  private Optional<Choice> best(
      TargetService service,
      Collection<ServerInstance> candidates,
      CallDemand demand,
      Set<InstanceKey> excluded,
      Set<String> excludedDataCentres) {
    List<ServerInstance> allowed =
        candidates.stream()
            .filter(instance -> !excluded.contains(instance.key()))
            .filter(instance -> !excludedDataCentres.contains(instance.dataCentre()))
            .toList();
    List<ServerInstance> ownCell = allowed.stream().filter(isOwnCell).toList();
    Optional<Choice> own = shortestWait(service, ownCell, demand);
    boolean isGoodEnough =
        own.filter(choice -> choice.expectedWaitMs() < MS_BEFORE_OTHER_CELLS).isPresent();
    return isGoodEnough || ownCell.size() == allowed.size()
        ? own
        : shortestWait(service, allowed, demand);
  }

  private Optional<Choice> shortestWait(
      TargetService service, List<ServerInstance> instances, CallDemand demand) {
    return instances.stream()
        .map(instance -> new Choice(instance, expectedWaitMs(service, instance, demand)))
        .min(
            Comparator.comparingDouble(
                choice -> choice.expectedWaitMs() + MS_RANDOM * random.nextDouble()));
  }

  private double expectedWaitMs(TargetService service, ServerInstance instance, CallDemand demand) {
    ServerUse use = ledger.total(instance);
    boolean isOwnDataCentre = instance.dataCentre().equals(dataCentre);
    double waitMs =
        service
            .engineMemory()
            .map(memory -> engineWaitMs(memory.tokens(), use, demand))
            .orElseGet(() -> slotWaitMs(instance, use, isOwnDataCentre));
    if (!isOwnDataCentre) {
      waitMs += MS_OTHER_DATA_CENTRE;
    }
    if (!isOwnCell.test(instance)) {
      waitMs += MS_BEFORE_OTHER_CELLS;
    }
    if (health.isAvoided(instance.key())) {
      waitMs += MS_LAST_RESORT;
    }
    double badShare = Math.max(0, health.failureShare(instance.key()) - USUAL_FAILURE_SHARE);
    return waitMs + MS_PER_FAILURE_SHARE * badShare;
  }

  private static double engineWaitMs(long memoryTokens, ServerUse use, CallDemand demand) {
    double waitMs = use.unreadTokens() / PROMPT_TOKENS_PER_MS + use.calls() * MS_PER_RUNNING_CALL;
    double overfill = use.memoryTokens() + demand.memoryTokens() - MEMORY_FILL * memoryTokens;
    if (overfill > 0) {
      waitMs += MS_AT_FULL_ENGINE * (1 + overfill / memoryTokens);
    }
    return waitMs;
  }

  private static double slotWaitMs(
      ServerInstance instance, ServerUse use, boolean isOwnDataCentre) {
    double usedShare = (double) use.calls() / Math.max(1, instance.slots());
    double penalty = isOwnDataCentre ? 0 : SLOTS_BEFORE_OTHER_DATA_CENTRES;
    return (usedShare + penalty) * MS_AT_FULL_SLOTS;
  }

  /**
   * A chosen server.
   *
   * @param instance the server
   * @param expectedWaitMs the wait that it was chosen for, in milliseconds
   */
  public record Choice(ServerInstance instance, double expectedWaitMs) {}
}
