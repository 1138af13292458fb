package org.galenapost.daemon.gateway;

import java.time.Duration;
import java.util.OptionalInt;
import org.galenapost.core.dispatch.FleetShare;
import org.galenapost.core.dispatch.RetryLoans;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.membership.MembershipSettings;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.controller.MembershipController;
import org.galenapost.daemon.settings.RepeatSettings;

/** Builds the budget that limits the retries of all daemons together. */
final class RetryWiring {

  private final MembershipController membership;
  private final RegistrationController registration;
  private final Duration lostDaemonsCountFor;
  private final FleetShare share;
  private final SendBudget budget;

  RetryWiring(
      RepeatSettings settings,
      MembershipSettings membershipSettings,
      MembershipController membership,
      RegistrationController registration,
      MonotonicClock clock) {
    this.membership = membership;
    this.registration = registration;
    this.lostDaemonsCountFor = membershipSettings.forgetAfter();
    this.share = new FleetShare(clock, settings.window(), this::countDaemonsWithShares);
    this.budget =
        new SendBudget(
            new SendBudget.SendBudgetSettings(
                settings.ratio(), settings.window(), settings.extraSends()),
            share::part,
            clock);
  }

  /** A daemon that was lost a short time ago counts, as it may only be cut off from this one. */
  private OptionalInt countDaemonsWithShares() {
    int others = membership.recentlyLiveCount(lostDaemonsCountFor);
    boolean isFleetKnown = others > 0 || registration.isListed();
    return isFleetKnown ? OptionalInt.of(others + 1) : OptionalInt.empty();
  }

  /** Notes that no daemon of this fleet has run before. */
  void confirmFirstStart() {
    share.confirmFirstStart();
  }

  /** Returns the part of the fixed retries that this daemon may use, for the metrics. */
  double share() {
    return share.part();
  }

  SendBudget budget() {
    return budget;
  }

  RetryLoans loans(PeerBus bus, Scheduler scheduler, RandomSource random) {
    return new RetryLoans(budget, bus, scheduler, random);
  }
}
