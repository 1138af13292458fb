package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.route.TargetService;
import org.galenapost.core.time.RandomSource;

/**
 * Chooses the server with the shortest expected wait. The estimate depends on the prompt tokens
 * that are not yet processed, the measured speed, the calls in flight, the free memory and recent
 * failures. Not safe for use by several threads.
 */
public final class InstanceChooser {

  /**
   * How much larger the share of taken slots of a local plain server may be while it is still
   * preferred to one in another data centre.
   */
  private static final double OTHER_DATA_CENTRE_SLOT_PENALTY = 0.5;

  /** The assumed duration of a call to a service that has not answered yet. */
  private static final double UNKNOWN_CALL_MS = 100;

  /** The assumed duration of a run at an engine of a service that has not answered yet. */
  private static final double UNKNOWN_RUN_MS = 1_000;

  private static final double OTHER_DATA_CENTRE_PENALTY_MS = 3;

  /**
   * The share of failed calls that is not penalised. Some calls fail on any server, and a few of
   * them in a row are no sign of a faulty one.
   */
  private static final double TOLERATED_FAILURE_SHARE = 0.4;

  private static final double FAILURE_SHARE_PENALTY_MS = 3_000;
  private static final double AVOIDED_SERVER_PENALTY_MS = 100_000;
  private static final double TIE_BREAK_JITTER_MS = 2;

  /**
   * Waits count as equal at engines if they differ by less than this part of the call's reading.
   */
  private static final double NEAR_EQUAL_READING_SHARE = 0.25;

  /**
   * The number of calls like the one at hand that may be ahead of it in the local cell before
   * servers of other cells, whose use is not known, are considered.
   */
  private static final double CALLS_AHEAD_BEFORE_OTHER_CELLS = 2;

  /** A shorter wait may be over before the use reports tell of it, which are 50 ms late. */
  private static final double MIN_OTHER_CELL_PENALTY_MS = 100;

  private final String dataCentre;
  private final InstanceDirectory directory;
  private final Predicate<ServerInstance> isOwnCell;
  private final ServerUseTracker useTracker;
  private final InstanceHealth health;
  private final RequestedPauses pauses;
  private final Predicate<InstanceKey> isBrittle;
  private final ServerSpeeds speeds;
  private final RunTimes runTimes;
  private final RandomSource random;
  private final NearEqualPick nearEqualPick;
  private final StartRamp startRamp;
  private final PromptSavings promptSavings;
  private final BooleanSupplier hasManyDaemons;

  /**
   * Creates a chooser.
   *
   * @param dataCentre the data centre of this daemon
   * @param directory the known servers
   * @param isOwnCell whether a server is in the cell of this daemon, so that this daemon receives
   *     the use reports of other daemons about it
   * @param observations what is known of servers beyond their announcements
   * @param random breaks ties
   * @param promptSavings what servers need not read of a prompt
   * @param hasManyDaemons whether so many daemons place calls that they would crowd onto the server
   *     that has just become the least used one
   */
  public InstanceChooser(
      String dataCentre,
      InstanceDirectory directory,
      Predicate<ServerInstance> isOwnCell,
      ServerObservations observations,
      RandomSource random,
      PromptSavings promptSavings,
      BooleanSupplier hasManyDaemons) {
    this.dataCentre = dataCentre;
    this.directory = directory;
    this.isOwnCell = isOwnCell;
    this.useTracker = observations.useTracker();
    this.speeds = observations.speeds();
    this.runTimes = observations.runTimes();
    this.health = observations.health();
    this.pauses = observations.pauses();
    this.isBrittle = observations.isBrittle();
    this.random = random;
    this.nearEqualPick = new NearEqualPick(random);
    this.startRamp = new StartRamp(directory::sinceAppeared, random);
    this.promptSavings = promptSavings;
    this.hasManyDaemons = hasManyDaemons;
  }

  /**
   * Chooses the server for a call. Servers whose entry has lapsed are chosen only if no other
   * server is available.
   *
   * @param service the service
   * @param demand the resources that the call needs; a call whose urgency is restricted gets no
   *     server while only more urgent calls may fill those that there are
   * @param constraint which servers may be chosen; if it requires a version, servers that may have
   *     started again with another one are left out
   */
  public Optional<Choice> choose(
      TargetService service, CallDemand demand, ServerConstraint constraint) {
    Predicate<ServerInstance> isAllowed = instance -> isAllowed(instance, constraint);
    Optional<Choice> ready =
        chooseAmong(service, directory.ready(service.name()), demand, isAllowed);
    boolean isRoomShort =
        ready.isEmpty()
            && demand.urgency().isRestricted()
            && choose(service, demand.withUrgency(PlacementUrgency.FULL), constraint).isPresent();
    return ready.isPresent() || isRoomShort
        ? ready
        : chooseAmong(service, directory.lapsed(service.name()), demand, isAllowed);
  }

  /**
   * Returns when to come back to a service whose servers all asked for a pause: after the first
   * pause, spread over the time of one run, in which places become free one after the other. Empty
   * if a server is in no pause.
   */
  public Optional<Duration> untilPauseEnds(TargetService service) {
    return pauses
        .untilFirstEnds(directory.ready(service.name()))
        .map(pause -> pause.plus(returnSpread(service, pause)));
  }

  /**
   * Chooses the server that receives a copy of a run's memory. It is in another data centre than
   * the run, runs the same software version and has free memory.
   *
   * @param service the service
   * @param demand the resources that the run needs
   * @param runner the server that executes the run
   * @param excluded the servers that must not be chosen
   */
  public Optional<ServerInstance> chooseCopyTarget(
      TargetService service, CallDemand demand, ServerInstance runner, Set<InstanceKey> excluded) {
    ServerConstraint constraint =
        ServerConstraint.excluding(excluded).withSoftwareVersion(runner.softwareVersion());
    return chooseAmong(
            service,
            directory.ready(service.name()),
            demand.withPromptParts(List.of()),
            instance ->
                constraint.allows(instance)
                    && !instance.dataCentre().equals(runner.dataCentre())
                    && canHoldCopy(service, instance, demand))
        .map(Choice::instance);
  }

  private boolean canHoldCopy(TargetService service, ServerInstance instance, CallDemand demand) {
    ServerUse use = useTracker.total(instance);
    return !health.isAvoided(instance.key())
        && service
            .engineMemory()
            .map(memory -> EngineWait.hasFreeMemory(memory.tokens(), use, demand))
            .orElse(true);
  }

  private Optional<Choice> chooseAmong(
      TargetService service,
      Collection<ServerInstance> candidates,
      CallDemand demand,
      Predicate<ServerInstance> isAllowed) {
    List<ServerInstance> allowed =
        candidates.stream()
            .filter(
                instance ->
                    eligibility(service, instance, demand, isAllowed) == Eligibility.ELIGIBLE)
            .toList();
    List<ServerInstance> ownCell = allowed.stream().filter(isOwnCell).toList();
    if (demand.urgency().isRestricted() && !ownCell.isEmpty()) {
      return shortestWait(service, withHeadroom(service, ownCell, demand), demand);
    }
    Optional<Choice> ownChoice = shortestWait(service, ownCell, demand);
    boolean isWaitAcceptable =
        ownChoice
            .filter(choice -> choice.expectedWaitMs() < otherCellPenaltyMs(service, demand))
            .isPresent();
    return isWaitAcceptable || ownCell.size() == allowed.size()
        ? ownChoice
        : shortestWait(service, allowed, demand);
  }

  private boolean isAllowed(ServerInstance instance, ServerConstraint constraint) {
    return constraint.allows(instance)
        && (constraint.softwareVersion().isEmpty() || !health.mayHaveRestarted(instance.key()));
  }

  /** Returns whether a server may be chosen for a call, or why not. */
  Eligibility eligibility(
      TargetService service,
      ServerInstance instance,
      CallDemand demand,
      ServerConstraint constraint) {
    return eligibility(service, instance, demand, one -> isAllowed(one, constraint));
  }

  private Eligibility eligibility(
      TargetService service,
      ServerInstance instance,
      CallDemand demand,
      Predicate<ServerInstance> isAllowed) {
    if (!isAllowed.test(instance)) {
      return Eligibility.NOT_ALLOWED;
    }
    if (pauses.isPaused(instance.key())) {
      return Eligibility.PAUSED;
    }
    return isBrittle.test(instance.key()) && !hasRoom(service, instance, demand)
        ? Eligibility.BRITTLE_WITHOUT_ROOM
        : Eligibility.ELIGIBLE;
  }

  /** The use of servers of other cells is not known, so headroom is a matter of the own cell. */
  private List<ServerInstance> withHeadroom(
      TargetService service, List<ServerInstance> servers, CallDemand demand) {
    return servers.stream()
        .filter(
            server ->
                service
                    .engineMemory()
                    .map(memory -> isHeadroomLeft(memory.tokens(), server, demand))
                    .orElse(true))
        .toList();
  }

  private boolean isHeadroomLeft(long memoryTokens, ServerInstance server, CallDemand demand) {
    return Headroom.isLeft(
        memoryTokens,
        server.slots(),
        speeds.tokensPerMs(server.key()),
        useTracker.total(server),
        demand);
  }

  private boolean hasRoom(TargetService service, ServerInstance instance, CallDemand demand) {
    ServerUse use = useTracker.total(instance);
    boolean fitsMemory =
        service
            .engineMemory()
            .map(memory -> use.memoryTokens() + demand.memoryTokens() <= memory.tokens())
            .orElse(true);
    return fitsMemory && use.calls() < instance.slots();
  }

  private Optional<Choice> shortestWait(
      TargetService service, List<ServerInstance> instances, CallDemand demand) {
    boolean mayHerd = service.engineMemory().isPresent() && hasManyDaemons.getAsBoolean();
    List<ServerInstance> candidates = mayHerd ? startRamp.admitted(instances) : instances;
    List<PromptPreference.Estimate> estimates =
        candidates.stream().map(instance -> estimate(service, instance, demand)).toList();
    return mayHerd
        ? PromptPreference.select(
            estimates,
            waits -> nearEqualPick.pick(waits, NEAR_EQUAL_READING_SHARE * readMs(demand)))
        : PromptPreference.select(estimates, this::pickShortest);
  }

  private int pickShortest(double[] waitsMs) {
    double[] jittered =
        Arrays.stream(waitsMs).map(ms -> ms + TIE_BREAK_JITTER_MS * random.nextDouble()).toArray();
    return IntStream.range(0, jittered.length)
        .boxed()
        .min(Comparator.comparingDouble(i -> jittered[i]))
        .orElseThrow();
  }

  /** Estimates the wait at a server and what the server need not read of the prompt. */
  PromptPreference.Estimate estimate(
      TargetService service, ServerInstance instance, CallDemand demand) {
    double waitMs = expectedWaitMs(service, instance, demand);
    boolean isSuspect =
        health.isAvoided(instance.key())
            || health.failureShare(instance.key()) > TOLERATED_FAILURE_SHARE;
    double savedTokens =
        isSuspect
            ? 0
            : promptSavings.savedTokens(service, instance, demand, useTracker.total(instance));
    return new PromptPreference.Estimate(
        instance, waitMs, savedTokens, savedTokens / speeds.tokensPerMs(instance.key()));
  }

  private double expectedWaitMs(TargetService service, ServerInstance instance, CallDemand demand) {
    ServerUse use = useTracker.total(instance);
    boolean isOwnDataCentre = instance.dataCentre().equals(dataCentre);
    double waitMs =
        service
            .engineMemory()
            .map(memory -> engineWaitMs(service, memory.tokens(), instance, demand))
            .orElseGet(() -> slotWaitMs(service, instance, use, isOwnDataCentre));
    if (!isOwnDataCentre) {
      waitMs += OTHER_DATA_CENTRE_PENALTY_MS;
    }
    if (!isOwnCell.test(instance)) {
      waitMs += otherCellPenaltyMs(service, demand);
    }
    if (health.isAvoided(instance.key())) {
      waitMs += AVOIDED_SERVER_PENALTY_MS;
    }
    double excessFailureShare =
        Math.max(0, health.failureShare(instance.key()) - TOLERATED_FAILURE_SHARE);
    return waitMs + FAILURE_SHARE_PENALTY_MS * excessFailureShare;
  }

  private double engineWaitMs(
      TargetService service, long memoryTokens, ServerInstance instance, CallDemand demand) {
    return EngineWait.waitMs(
        memoryTokens,
        speeds.tokensPerMs(instance.key()),
        useTracker.total(instance),
        demand,
        measuredRunMs(service, UNKNOWN_RUN_MS));
  }

  /** A server without free slots has a place when one of its calls ends. */
  private double slotWaitMs(
      TargetService service, ServerInstance instance, ServerUse use, boolean isOwnDataCentre) {
    double usedShare = (double) use.calls() / Math.max(1, instance.slots());
    double penalty = isOwnDataCentre ? 0 : OTHER_DATA_CENTRE_SLOT_PENALTY;
    return (usedShare + penalty) * callMs(service);
  }

  private double callMs(TargetService service) {
    return measuredRunMs(service, UNKNOWN_CALL_MS);
  }

  private double measuredRunMs(TargetService service, double unknownMs) {
    long measuredMs = runTimes.meanRun(service.name()).toMillis();
    return measuredMs > 0 ? measuredMs : unknownMs;
  }

  /** Callers need not return more slowly than they came. */
  private Duration returnSpread(TargetService service, Duration pause) {
    double spreadMs = Math.min(callMs(service), pause.toMillis());
    return Duration.ofMillis(Math.round(spreadMs * random.nextDouble()));
  }

  private static double readMs(CallDemand demand) {
    return demand.promptTokens() / ServerSpeeds.NOMINAL_TOKENS_PER_MS;
  }

  private double otherCellPenaltyMs(TargetService service, CallDemand demand) {
    double ownMs = service.engineMemory().isPresent() ? readMs(demand) : callMs(service);
    return Math.max(MIN_OTHER_CELL_PENALTY_MS, CALLS_AHEAD_BEFORE_OTHER_CELLS * ownMs);
  }

  /**
   * A chosen server.
   *
   * @param instance the server
   * @param expectedWaitMs the expected wait of the call beyond the time in which an engine of
   *     nominal speed reads its prompt, less the time that a held beginning of the prompt saves, in
   *     milliseconds; below 0 at a fast idle engine
   * @param savedTokens the prompt tokens that the server is expected not to read
   * @param isDueToHeldPrompt whether another server would be chosen if none held any prompt
   */
  public record Choice(
      ServerInstance instance,
      double expectedWaitMs,
      double savedTokens,
      boolean isDueToHeldPrompt) {

    /** Returns the expected time from the send to the first event. */
    public Duration expectedTimeToFirstEvent(CallDemand demand) {
      double nominalReadMs = demand.promptTokens() / ServerSpeeds.NOMINAL_TOKENS_PER_MS;
      return Duration.ofMillis(Math.max(0, Math.round(expectedWaitMs + nominalReadMs)));
    }
  }
}
