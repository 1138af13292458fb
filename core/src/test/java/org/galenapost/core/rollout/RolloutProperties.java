package org.galenapost.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenapost.core.rollout.RolloutFleet.Answer;

/** Guards the bounds of a roll-out while messages, daemons and the store fail. */
class RolloutProperties {

  private static final long WITHIN_MS = 30_000;
  private static final double GOOD_FAILURE_SHARE = 0.02;

  /** How a version is bad; none of them shows before its first answers. */
  enum Fault {
    FAILS,
    FAILS_ALWAYS,
    IS_SLOW,
    LOSES_ANSWERS,
    FAILS_ON_ONE_ROUTE,
    FAILS_LATER;

    boolean isBad(String route, double elapsedShare, Random random) {
      double draw = random.nextDouble();
      return switch (this) {
        case FAILS, IS_SLOW, LOSES_ANSWERS -> draw < 0.35;
        case FAILS_ALWAYS -> true;
        case FAILS_ON_ONE_ROUTE -> route.equals("b") && draw < 0.6;
        case FAILS_LATER -> elapsedShare > 0.25 && draw < 0.5;
      };
    }

    Answer badAnswer(double ms) {
      return switch (this) {
        case IS_SLOW -> new Answer(AnswerOutcome.ANSWERED, 4 * ms, true);
        case LOSES_ANSWERS -> new Answer(AnswerOutcome.LOST, ms, true);
        default -> new Answer(AnswerOutcome.FAILED, ms, true);
      };
    }
  }

  private static RolloutFleet fleet(int daemons, long seed, Fault fault) {
    RolloutFleet[] fleet = new RolloutFleet[1];
    fleet[0] =
        new RolloutFleet(
            daemons,
            seed,
            (version, route, random) -> {
              double ms = 20 + 20 * random.nextDouble();
              double elapsedShare = fleet[0].time.nanos() / 1e6 / WITHIN_MS;
              if (version.equals("v2") && fault.isBad(route, elapsedShare, random)) {
                return fault.badAnswer(ms);
              }
              return random.nextDouble() < GOOD_FAILURE_SHARE
                  ? new Answer(AnswerOutcome.FAILED, ms, false)
                  : new Answer(AnswerOutcome.ANSWERED, ms, false);
            });
    return fleet[0];
  }

  /**
   * Plays the time limit in steps, with a trouble now and then: a daemon that starts again, a
   * daemon that is cut off in one direction, the store out of reach.
   */
  private static void playWithTroubles(RolloutFleet fleet, Random random, boolean hasTroubles) {
    for (long ms = 0; ms < WITHIN_MS; ms += 500) {
      fleet.time.advance(Duration.ofMillis(500));
      if (!hasTroubles) {
        continue;
      }
      List<String> ids = List.copyOf(fleet.members.keySet());
      String one = ids.get(random.nextInt(ids.size()));
      switch (random.nextInt(12)) {
        case 0 -> fleet.restart(one);
        case 1 -> fleet.setStoreDown(true);
        case 2, 3, 4 -> fleet.setStoreDown(false);
        case 5 -> ids.forEach(other -> fleet.network.cut(one, other));
        case 6 -> fleet.network.healAll();
        default -> {}
      }
    }
  }

  private static void assertExposureIsBounded(RolloutFleet fleet) {
    double bound =
        RolloutFleet.SETTINGS.exposureShare() * fleet.requests
            + RolloutFleet.SETTINGS.exposureSlack();
    assertThat((double) fleet.sendsTo("v2")).isLessThanOrEqualTo(bound);
  }

  @Property(tries = 120, seed = "8101")
  void exposureStaysBoundedWhateverIsLost(
      @ForAll @IntRange(min = 1, max = 9) int daemons, @ForAll long seed, @ForAll Fault fault) {
    RolloutFleet fleet = fleet(daemons, seed, fault);
    fleet.lossShare = 0.2;
    fleet.order("v2", WITHIN_MS);
    fleet.time.advance(Duration.ofMillis(200));
    fleet.running.add("v2");

    playWithTroubles(fleet, new Random(seed), true);

    assertExposureIsBounded(fleet);
    fleet.setStoreDown(false);
    fleet.network.healAll();
    fleet.lossShare = 0;
    fleet.time.advance(Duration.ofSeconds(8));
    assertThat(fleet.state()).as(fleet.object()).isEqualTo("reverted v2");
  }

  @Property(tries = 120, seed = "8102")
  void nothingIsSentLateToBadVersionWhenMessagesArrive(
      @ForAll @IntRange(min = 1, max = 9) int daemons, @ForAll long seed, @ForAll Fault fault) {
    RolloutFleet fleet = fleet(daemons, seed, fault);
    fleet.order("v2", WITHIN_MS);
    fleet.time.advance(Duration.ofMillis(200));
    fleet.running.add("v2");

    playWithTroubles(fleet, new Random(seed), false);

    assertExposureIsBounded(fleet);
    assertThat(fleet.state()).as(fleet.object()).isEqualTo("reverted v2");
    fleet.fiftiethBadNanos.ifPresent(
        nanos ->
            assertThat((fleet.lastSendNanos.get("v2") - nanos) / 1_000_000)
                .isLessThanOrEqualTo(RolloutFleet.SETTINGS.revertMs()));
  }

  /** Guards against a verdict that puts chance down to the version, as repeated tests would. */
  @Property(tries = 60, seed = "8103")
  void goodVersionIsCompletedWhileSomeMessagesAreLost(
      @ForAll @IntRange(min = 1, max = 9) int daemons, @ForAll long seed) {
    RolloutFleet fleet =
        new RolloutFleet(
            daemons,
            seed,
            (version, route, random) -> {
              double ms = Math.exp(3 + random.nextGaussian() / 2);
              return random.nextDouble() < GOOD_FAILURE_SHARE
                  ? new Answer(AnswerOutcome.FAILED, ms, false)
                  : new Answer(AnswerOutcome.ANSWERED, ms, false);
            });
    fleet.lossShare = 0.05;
    fleet.order("v2", WITHIN_MS);
    fleet.time.advance(Duration.ofMillis(200));
    fleet.running.add("v2");

    playWithTroubles(fleet, new Random(seed), false);

    assertThat(fleet.state()).as(fleet.object()).isEqualTo("completed v2");
  }
}
