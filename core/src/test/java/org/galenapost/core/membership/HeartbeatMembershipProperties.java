package org.galenapost.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class HeartbeatMembershipProperties {

  private static final Duration LOSS_BOUND = Duration.ofSeconds(20);
  private static final Duration RETURN_BOUND = Duration.ofSeconds(25);

  @Property(seed = "6101", tries = 40)
  void declaresNoLiveDaemonLostUnderMessageLossAndOneWayCut(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @DoubleRange(min = 0, max = 0.15) double lossRate) {
    // GIVEN daemons on a lossy network with one direction between two of them cut
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, lossRate);
    schedule.cutOneWay("d0", "d1");

    // WHEN time passes
    schedule.run(Duration.ofSeconds(90));

    // THEN nobody was ever held to be lost
    assertThat(schedule.everLost()).isEmpty();
  }

  @Property(seed = "6102", tries = 40)
  void findsDeadDaemonEverywhereWithinBound(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 40) int daemons,
      @ForAll @DoubleRange(min = 0, max = 0.15) double lossRate) {
    // GIVEN daemons that know each other
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, lossRate);
    schedule.run(Duration.ofSeconds(10));

    // WHEN one dies
    schedule.crash("d1");
    schedule.run(LOSS_BOUND);

    // THEN all the others know, and hold nobody else to be lost
    assertThat(schedule.daemonsSeeingLive("d1")).isEmpty();
    assertThat(schedule.everLost()).containsExactly("d1");
  }

  @Property(seed = "6103", tries = 30)
  void frozenDaemonReturnsAndJudgesNobody(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @IntRange(min = 2, max = 60) int frozenSeconds) {
    // GIVEN a daemon that was frozen, for less or more than it takes to be found lost
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, 0.05);
    schedule.run(Duration.ofSeconds(5));
    schedule.freeze("d0");
    schedule.run(Duration.ofSeconds(frozenSeconds));

    // WHEN it runs again
    schedule.resume("d0");
    schedule.run(RETURN_BOUND);

    // THEN all count it as live again, and it has judged no other
    assertThat(schedule.daemonsSeeingLive("d0")).hasSize(daemons - 1);
    assertThat(schedule.everLost()).isSubsetOf("d0");
  }

  @Property(seed = "6107", tries = 30)
  void thawedDaemonKeepsNoSuspicionFromBeforeItWasFrozen(
      @ForAll long seed, @ForAll @IntRange(min = 5, max = 24) int daemons) {
    // GIVEN a daemon frozen while it suspects another one, which runs again in the meantime
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, 0);
    schedule.run(Duration.ofSeconds(5));
    schedule.freeze("d1");
    schedule.run(Duration.ofMillis(5_500));
    schedule.freeze("d0");
    schedule.resume("d1");
    schedule.run(Duration.ofSeconds(30));

    // WHEN it is thawed
    schedule.resume("d0");
    schedule.run(RETURN_BOUND);

    // THEN it never holds the other one to be lost
    assertThat(schedule.everLostBy("d0")).isEmpty();
  }

  @Property(seed = "6104", tries = 30)
  void restartedDaemonIsLiveAgainWhicheverItsClockSays(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @IntRange(min = 1, max = 2000) int incarnation) {
    // GIVEN a daemon that died and was found lost
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, 0.05);
    schedule.crash("d2");
    schedule.run(LOSS_BOUND);

    // WHEN it starts again with the same id, its clock ahead or behind
    schedule.restart("d2", incarnation);
    schedule.run(RETURN_BOUND);

    // THEN all count it as live
    assertThat(schedule.daemonsSeeingLive("d2")).hasSize(daemons - 1);
  }

  @Property(seed = "6106", tries = 10)
  void lastDaemonFindsAllOthersLost(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int daemons) {
    // GIVEN a few daemons
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, 0);
    schedule.run(Duration.ofSeconds(5));

    // WHEN all but one die at once
    for (int i = 1; i < daemons; i++) {
      schedule.crash("d" + i);
    }
    schedule.run(Duration.ofSeconds(60));

    // THEN the last one knows
    for (int i = 1; i < daemons; i++) {
      assertThat(schedule.daemonsSeeingLive("d" + i)).isEmpty();
    }
  }

  @Property(seed = "6105", tries = 5)
  void messagesPerDaemonStayConstantAsMembershipGrows(
      @ForAll long seed, @ForAll @IntRange(min = 20, max = 120) int daemons) {
    // GIVEN a quiet membership
    MembershipSimulation schedule = new MembershipSimulation(seed, daemons, 0);
    schedule.run(Duration.ofSeconds(30));
    long before = schedule.messages();

    // WHEN a minute passes
    schedule.run(Duration.ofSeconds(60));

    // THEN each daemon sends four heartbeats and four answers a second
    double perDaemonSecond = (schedule.messages() - before) / (60.0 * daemons);
    assertThat(perDaemonSecond).isBetween(7.0, 9.0);
  }
}
