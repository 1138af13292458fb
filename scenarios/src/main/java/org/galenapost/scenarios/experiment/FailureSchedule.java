package org.galenapost.scenarios.experiment;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;

/** Executes the events of a failure at their scheduled times. */
final class FailureSchedule {

  private final RunningFleet fleet;
  private final ControlClient control = new ControlClient();
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

  private FailureSchedule(RunningFleet fleet) {
    this.fleet = fleet;
  }

  /** Schedules the events, relative to now. */
  static FailureSchedule start(RunningFleet fleet, List<Experiment.Event> events) {
    FailureSchedule schedule = new FailureSchedule(fleet);
    for (Experiment.Event event : events) {
      schedule.scheduler.schedule(
          () -> schedule.execute(event), event.atMs(), TimeUnit.MILLISECONDS);
    }
    return schedule;
  }

  private void execute(Experiment.Event event) {
    switch (event.action()) {
      case "kill" -> fleet.process(event.process()).kill();
      case "freeze" -> fleet.process(event.process()).freeze();
      case "thaw" -> fleet.process(event.process()).thaw();
      case "start" -> fleet.start(event.process());
      default -> setSwitch(event);
    }
  }

  private void setSwitch(Experiment.Event event) {
    String url = fleet.standinUrl(event.process()) + "/standin/" + event.action();
    control.send("POST", url, Optional.empty(), event.body().orElse("{}"));
  }

  /** Cancels the remaining events. */
  void close() {
    scheduler.shutdownNow();
  }
}
