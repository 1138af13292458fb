package org.galenapost.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;

/**
 * Lists the servers of a service with the figures by which a call is placed. The choice and its
 * figures are those of the {@link InstanceChooser} that serves calls. Nothing is reserved.
 */
public final class PlacementExplainer {

  private static final double CHOSEN_ORDER = -1;
  private static final double NOT_ELIGIBLE_ORDER = Double.MAX_VALUE;

  private final InstanceChooser chooser;
  private final InstanceDirectory directory;
  private final ServerUseTracker useTracker;
  private final InstanceHealth health;
  private final RequestedPauses pauses;
  private final HeldPrompts heldPrompts;

  /**
   * Creates an explainer.
   *
   * @param chooser the chooser that serves calls
   * @param directory the known servers
   * @param useTracker the current use of each server
   * @param health the recent failures of each server
   * @param pauses the pauses that servers asked for
   * @param heldPrompts the prompts that servers hold
   */
  public PlacementExplainer(
      InstanceChooser chooser,
      InstanceDirectory directory,
      ServerUseTracker useTracker,
      InstanceHealth health,
      RequestedPauses pauses,
      HeldPrompts heldPrompts) {
    this.chooser = chooser;
    this.directory = directory;
    this.useTracker = useTracker;
    this.health = health;
    this.pauses = pauses;
    this.heldPrompts = heldPrompts;
  }

  /**
   * Returns the servers of a service: the chosen one, the others by their expected wait, and those
   * that are left out.
   *
   * @param service the service
   * @param demand the resources that the call needs
   * @param constraint which servers may be chosen
   * @param choice the choice of the chooser; empty if no server may be chosen
   */
  public List<PlacementCandidate> candidates(
      TargetService service,
      CallDemand demand,
      ServerConstraint constraint,
      Optional<Choice> choice) {
    List<ServerInstance> ready = directory.ready(service.name());
    boolean isLastResort = choice.filter(one -> !ready.contains(one.instance())).isPresent();
    Stream<PlacementCandidate> lapsed =
        directory.lapsed(service.name()).stream()
            .map(one -> candidate(service, one, demand, constraint, choice))
            .map(one -> isLastResort ? one : leftOut(one, "lapsed"));
    return Stream.concat(
            ready.stream().map(one -> candidate(service, one, demand, constraint, choice)), lapsed)
        .sorted(Comparator.comparingDouble(PlacementExplainer::order))
        .toList();
  }

  private static double order(PlacementCandidate candidate) {
    if (candidate.decision().equals("chosen")) {
      return CHOSEN_ORDER;
    }
    return candidate.decision().equals(Eligibility.ELIGIBLE.text())
        ? candidate.expectedWaitMs()
        : NOT_ELIGIBLE_ORDER;
  }

  private PlacementCandidate candidate(
      TargetService service,
      ServerInstance instance,
      CallDemand demand,
      ServerConstraint constraint,
      Optional<Choice> choice) {
    ServerUse use = useTracker.total(instance);
    PromptPreference.Estimate estimate = chooser.estimate(service, instance, demand);
    boolean isChosen = choice.filter(one -> one.instance().equals(instance)).isPresent();
    return new PlacementCandidate(
        instance.id(),
        instance.dataCentre(),
        instance.softwareVersion(),
        isChosen ? "chosen" : chooser.eligibility(service, instance, demand, constraint).text(),
        Math.round(estimate.expectedWaitMs()),
        (long) estimate.savedTokens(),
        heldPrompts.sinceLastRead(instance.key()).map(age -> age.toMillis()).orElse(-1L),
        use.calls(),
        instance.slots(),
        use.unreadTokens(),
        use.memoryTokens(),
        service.engineMemory().map(EngineMemory::tokens).orElse(0L),
        health.failureShare(instance.key()),
        pauses.remaining(instance.key()).toMillis());
  }

  private static PlacementCandidate leftOut(PlacementCandidate one, String reason) {
    return new PlacementCandidate(
        one.server(),
        one.dataCentre(),
        one.version(),
        reason,
        one.expectedWaitMs(),
        one.savedTokens(),
        one.heldAgeMs(),
        one.calls(),
        one.slots(),
        one.unreadTokens(),
        one.usedMemoryTokens(),
        one.memoryTokens(),
        one.failureShare(),
        one.pauseMs());
  }
}
