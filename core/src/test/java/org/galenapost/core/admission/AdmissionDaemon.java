package org.galenapost.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.galenapost.core.profile.Urgency;
import org.galenapost.core.testing.VirtualTime;
import org.galenapost.core.verdict.Refusal;

/** One daemon's admission over virtual time; an admitted request takes a fixed service time. */
final class AdmissionDaemon {

  final DemandShares shares;
  final QueuedAdmission admission;
  final Map<String, Integer> admittedTokens = new HashMap<>();
  final List<Refusal> refusals = new ArrayList<>();
  private final VirtualTime time;
  private final Duration serviceTime;

  AdmissionDaemon(
      VirtualTime time,
      AdmissionSettings settings,
      Function<String, WorkspaceTerms> terms,
      int daemonCount,
      Duration serviceTime) {
    this.time = time;
    this.serviceTime = serviceTime;
    this.shares = new DemandShares(time, () -> daemonCount);
    this.admission =
        new QueuedAdmission(
            time, time, settings, terms, shares, new SplittableRandom(7), AdmissionListener.NONE);
  }

  void send(String workspace, Urgency urgency, int costTokens, Duration deadline) {
    send(workspace, urgency, costTokens, deadline, () -> {});
  }

  void send(
      String workspace, Urgency urgency, int costTokens, Duration deadline, Runnable whenAdmitted) {
    long deadlineNanos = time.nanos() + deadline.toNanos();
    var request = new AdmissionRequest(workspace, "m0", urgency, costTokens, deadlineNanos);
    admission.admit(
        request,
        new AdmissionCallback() {
          @Override
          public void onAdmitted(AdmissionPermit permit) {
            whenAdmitted.run();
            admittedTokens.merge(workspace, costTokens, Integer::sum);
            time.schedule(serviceTime, () -> finish(permit, costTokens));
          }

          @Override
          public void onRefused(Refusal refusal) {
            refusals.add(refusal);
          }
        });
  }

  private void finish(AdmissionPermit permit, int costTokens) {
    permit.recordFirstAnswer(serviceTime.dividedBy(2));
    permit.finished(costTokens);
  }
}
