package org.galenapost.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.data.Percentage;
import org.galenapost.core.profile.Urgency;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.core.verdict.Verdict;

class QueuedAdmissionProperties {

  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration SERVICE_TIME = Duration.ofMillis(100);
  private static final Function<String, WorkspaceTerms> EQUAL = name -> WorkspaceTerms.UNLIMITED;

  private final VirtualTime time = new VirtualTime();

  private static AdmissionSettings settings(int concurrency) {
    return new AdmissionSettings(
        64,
        0.3,
        Duration.ofSeconds(3),
        concurrency,
        concurrency,
        concurrency,
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        0.8);
  }

  private AdmissionDaemon daemon(int concurrency, Function<String, WorkspaceTerms> terms) {
    return new AdmissionDaemon(time, settings(concurrency), terms, 1, SERVICE_TIME);
  }

  private static WorkspaceTerms weight(double weight) {
    return new WorkspaceTerms(weight, OptionalDouble.empty());
  }

  @Property(tries = 20, seed = "41")
  void contendedCapacityIsSharedByWeight(@ForAll @IntRange(min = 1, max = 4) int weight) {
    // GIVEN three flooding workspaces, one with another weight and one with ten times the load
    AdmissionDaemon daemon = daemon(4, name -> name.equals("heavy") ? weight(weight) : weight(1));

    // WHEN 30 s pass at several times the capacity
    for (int i = 0; i < 3000; i++) {
      daemon.send("heavy", Urgency.NORMAL, 10, MINUTE);
      daemon.send("light", Urgency.NORMAL, 10, MINUTE);
      IntStream.range(0, 10).forEach(n -> daemon.send("flood", Urgency.HIGH, 10, MINUTE));
      time.advance(Duration.ofMillis(10));
    }

    // THEN tokens follow the weights, not the load or the urgency
    Map<String, Integer> tokens = daemon.admittedTokens;
    Percentage tolerance = Percentage.withPercentage(8);
    assertThat(tokens.get("heavy")).isCloseTo(weight * tokens.get("light"), tolerance);
    assertThat(tokens.get("flood")).isCloseTo(tokens.get("light"), tolerance);
  }

  @Example
  void smallWorkspaceIsServedWhileLargeOnesFlood() {
    AdmissionDaemon daemon = daemon(4, EQUAL);
    List<Long> waitsNanos = new ArrayList<>();

    for (int i = 0; i < 2000; i++) {
      IntStream.range(0, 5).forEach(n -> daemon.send("large", Urgency.HIGH, 40, MINUTE));
      if (i % 50 == 0) {
        long sentNanos = time.nanos();
        daemon.send(
            "small", Urgency.LOW, 10, MINUTE, () -> waitsNanos.add(time.nanos() - sentNanos));
      }
      time.advance(Duration.ofMillis(10));
    }

    assertThat(waitsNanos).hasSize(40);
    assertThat(waitsNanos).allMatch(wait -> wait <= SERVICE_TIME.toNanos());
  }

  @Example
  void lowUrgencyIsNotStarvedByHighUrgencyOfSameWorkspace() {
    AdmissionDaemon daemon = daemon(2, EQUAL);
    List<Long> waitsNanos = new ArrayList<>();

    for (int i = 0; i < 500; i++) {
      daemon.send("w", Urgency.HIGH, 10, MINUTE);
      if (i == 100) {
        long sentNanos = time.nanos();
        daemon.send("w", Urgency.LOW, 10, MINUTE, () -> waitsNanos.add(time.nanos() - sentNanos));
      }
      time.advance(Duration.ofMillis(49));
    }

    assertThat(waitsNanos).hasSize(1);
  }

  @Example
  void requestThatCannotFinishInTimeIsRefusedAtOnce() {
    // GIVEN a daemon that has learnt that requests take 100 ms
    AdmissionDaemon daemon = daemon(4, EQUAL);
    IntStream.range(0, 10).forEach(n -> daemon.send("w", Urgency.NORMAL, 10, MINUTE));
    time.advance(Duration.ofSeconds(1));

    // WHEN one comes whose caller waits 20 ms
    daemon.send("w", Urgency.NORMAL, 10, Duration.ofMillis(20));

    // THEN it was answered without any wait
    Refusal refusal = daemon.refusals.get(0);
    assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
    assertThat(refusal.retryAfter()).isPresent();
  }

  @Example
  void everyRequestIsAnsweredWithinBoundOnWaiting() {
    AdmissionDaemon daemon =
        new AdmissionDaemon(time, settings(1), EQUAL, 1, Duration.ofMinutes(10));

    IntStream.range(0, 200).forEach(n -> daemon.send("w", Urgency.NORMAL, 10, MINUTE));
    int refusedAtOnce = daemon.refusals.size();
    time.advance(Duration.ofSeconds(4));

    assertThat(refusedAtOnce).isEqualTo(200 - 1 - 64);
    assertThat(daemon.refusals).hasSize(199);
    assertThat(daemon.refusals)
        .allMatch(refusal -> refusal.reason() == RefusalReason.QUEUE_FULL)
        .allMatch(refusal -> refusal.retryAfter().isPresent());
  }

  @Property(tries = 10, seed = "42")
  void limitAppliesAcrossDaemonsAndSharesFollowDemand(
      @ForAll @IntRange(min = 2, max = 6) int daemons,
      @ForAll @IntRange(min = 1, max = 10) int skew) {
    // GIVEN a workspace limited to 1,000 tokens per second that sends unevenly through daemons
    WorkspaceTerms limited = new WorkspaceTerms(1, OptionalDouble.of(1000));
    DemandAggregator owner = new DemandAggregator(time);
    List<AdmissionDaemon> all =
        IntStream.range(0, daemons)
            .mapToObj(
                i ->
                    new AdmissionDaemon(
                        time, settings(500), name -> limited, daemons, SERVICE_TIME))
            .toList();

    // WHEN it asks for five times its limit for 60 s, with reports every 2 s
    for (int tick = 0; tick < 6000; tick++) {
      for (int i = 0; i < daemons; i++) {
        int requests = i == 0 ? skew : 1;
        for (int n = 0; n < requests; n++) {
          all.get(i).send("w", Urgency.NORMAL, 5000 / 100 / (daemons - 1 + skew) + 1, MINUTE);
        }
        if (tick % 200 == 0) {
          DemandShares shares = all.get(i).shares;
          shares.onTotals(owner.onReport("d" + i, shares.ownDemands()));
        }
      }
      time.advance(Duration.ofMillis(10));
    }

    // THEN it got its limit and no more, apart from the burst
    int total = all.stream().mapToInt(d -> d.admittedTokens.getOrDefault("w", 0)).sum();
    assertThat(total).isBetween(57_000, 67_000);
    assertThat(all.get(0).shares.share("w"))
        .isCloseTo(skew / (daemons - 1.0 + skew), Percentage.withPercentage(15));
  }

  @Example
  void urgentRequestEvictsLessUrgentRequestOfSameWorkspaceFromFullQueue() {
    AdmissionDaemon daemon =
        new AdmissionDaemon(time, settings(1), EQUAL, 1, Duration.ofMinutes(10));
    IntStream.range(0, 65).forEach(n -> daemon.send("w", Urgency.LOW, 10, MINUTE));

    daemon.send("w", Urgency.HIGH, 10, MINUTE);
    int queued = daemon.admission.queued("m0");
    daemon.send("w", Urgency.LOW, 10, MINUTE);

    assertThat(queued).isEqualTo(64);
    assertThat(daemon.refusals).hasSize(2);
  }

  @Example
  void limitIsNotCutAgainBeforeTheLastCutTookEffect() {
    ConcurrencyLimit limit = new ConcurrencyLimit(AdmissionSettings.defaults());
    Duration late = Duration.ofSeconds(9);
    limit.onFirstAnswer(Duration.ofMillis(100), 1, 0);

    limit.onFirstAnswer(late, 16, Duration.ofSeconds(1).toNanos());
    int afterFirst = limit.limit();
    limit.onFirstAnswer(late, 14, Duration.ofSeconds(2).toNanos());

    assertThat(afterFirst).isBetween(8, 9);
    assertThat(limit.limit()).isEqualTo(afterFirst);
  }
}
