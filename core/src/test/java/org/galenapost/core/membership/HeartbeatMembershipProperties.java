package org.galenapost.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class HeartbeatMembershipProperties {

  private static final Duration DETECTION_BOUND = Duration.ofSeconds(20);
  private static final Duration REJOIN_BOUND = Duration.ofSeconds(25);

  @Property(seed = "6101", tries = 40)
  void declaresNoLiveDaemonLostUnderMessageLossAndOneWayCut(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @DoubleRange(min = 0, max = 0.15) double lossRate) {
    // GIVEN daemons on a lossy network with one direction between two of them cut
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, lossRate);
    simulation.cutOneWay("d0", "d1");

    // WHEN 90 seconds pass
    simulation.run(Duration.ofSeconds(90));

    // THEN no daemon was ever marked as lost
    assertThat(simulation.everLost()).isEmpty();
  }

  @Property(seed = "6102", tries = 40)
  void everyDaemonDetectsCrashedDaemonWithinBound(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 40) int daemons,
      @ForAll @DoubleRange(min = 0, max = 0.15) double lossRate) {
    // GIVEN daemons that know each other
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, lossRate);
    simulation.run(Duration.ofSeconds(10));

    // WHEN one crashes
    simulation.crash("d1");
    simulation.run(DETECTION_BOUND);

    // THEN all others mark it as lost, and no other daemon is marked as lost
    assertThat(simulation.daemonsSeeingLive("d1")).isEmpty();
    assertThat(simulation.everLost()).containsExactly("d1");
  }

  @Property(seed = "6103", tries = 30)
  void frozenDaemonRejoinsAndMarksNoOtherDaemonLost(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @IntRange(min = 2, max = 60) int frozenSeconds) {
    // GIVEN a daemon that is frozen for less or more than the time until others mark it as lost
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, 0.05);
    simulation.run(Duration.ofSeconds(5));
    simulation.freeze("d0");
    simulation.run(Duration.ofSeconds(frozenSeconds));

    // WHEN it resumes
    simulation.resume("d0");
    simulation.run(REJOIN_BOUND);

    // THEN all see it as live again, and it never marked another daemon as lost
    assertThat(simulation.daemonsSeeingLive("d0")).hasSize(daemons - 1);
    assertThat(simulation.everLost()).isSubsetOf("d0");
  }

  @Property(seed = "6107", tries = 30)
  void resumedDaemonDropsSuspicionsFromBeforeFreeze(
      @ForAll long seed, @ForAll @IntRange(min = 5, max = 24) int daemons) {
    // GIVEN a daemon that is frozen while it suspects another one, which resumes in the meantime
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, 0);
    simulation.run(Duration.ofSeconds(5));
    simulation.freeze("d1");
    simulation.run(Duration.ofMillis(5_500));
    simulation.freeze("d0");
    simulation.resume("d1");
    simulation.run(Duration.ofSeconds(30));

    // WHEN the first one resumes
    simulation.resume("d0");
    simulation.run(REJOIN_BOUND);

    // THEN it never marks the other one as lost
    assertThat(simulation.everLostBy("d0")).isEmpty();
  }

  @Property(seed = "6104", tries = 30)
  void restartedDaemonIsLiveAgainWithAnyIncarnation(
      @ForAll long seed,
      @ForAll @IntRange(min = 3, max = 24) int daemons,
      @ForAll @IntRange(min = 1, max = 2000) int incarnation) {
    // GIVEN a daemon that crashed and is marked as lost
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, 0.05);
    simulation.crash("d2");
    simulation.run(DETECTION_BOUND);

    // WHEN it restarts with the same id and an incarnation from a clock that is ahead or behind
    simulation.restart("d2", incarnation);
    simulation.run(REJOIN_BOUND);

    // THEN all see it as live
    assertThat(simulation.daemonsSeeingLive("d2")).hasSize(daemons - 1);
  }

  @Property(seed = "6106", tries = 10)
  void lastDaemonDetectsLossOfAllOthers(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int daemons) {
    // GIVEN a few daemons
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, 0);
    simulation.run(Duration.ofSeconds(5));

    // WHEN all but one crash at once
    for (int i = 1; i < daemons; i++) {
      simulation.crash("d" + i);
    }
    simulation.run(Duration.ofSeconds(60));

    // THEN the remaining one sees none of them as live
    for (int i = 1; i < daemons; i++) {
      assertThat(simulation.daemonsSeeingLive("d" + i)).isEmpty();
    }
  }

  @Property(seed = "6105", tries = 5)
  void messagesPerDaemonStayConstantAsMembershipGrows(
      @ForAll long seed, @ForAll @IntRange(min = 20, max = 120) int daemons) {
    // GIVEN a membership without changes
    MembershipSimulation simulation = new MembershipSimulation(seed, daemons, 0);
    simulation.run(Duration.ofSeconds(30));
    long sentBefore = simulation.sentMessages();

    // WHEN a minute passes
    simulation.run(Duration.ofSeconds(60));

    // THEN each daemon sends about four heartbeats and four acknowledgements per second
    double messagesPerDaemonSecond = (simulation.sentMessages() - sentBefore) / (60.0 * daemons);
    assertThat(messagesPerDaemonSecond).isBetween(7.0, 9.0);
  }
}
