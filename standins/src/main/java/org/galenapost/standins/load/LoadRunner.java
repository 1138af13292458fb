package org.galenapost.standins.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.RequestBuilder;
import org.galenapost.standins.json.Json;
import org.galenapost.standins.load.LoadReport.ActionCheck;

/** Runs a workload as an open loop: sends requests on schedule, without waiting for responses. */
final class LoadRunner {

  private static final Logger LOG = LogManager.getLogger(LoadRunner.class);
  private static final long POLL_INTERVAL_MS = 100;
  private static final long CALL_TIMEOUT_MARGIN_MS = 5_000;

  private final Workload workload;
  private final LoadClient client;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
  private final CallContext context;
  private final EngineCountsPoller engines;
  private final ActionLedger ledger = new ActionLedger();
  private final Map<String, ClassResults> resultsByClass = new HashMap<>();

  LoadRunner(Workload workload) {
    this.workload = workload;
    this.client =
        new LoadClient(
            Duration.ofMillis(workload.durationMs() + workload.drainMs() + CALL_TIMEOUT_MARGIN_MS));
    this.context = new CallContext(client, new Targets(workload.targets()), scheduler);
    this.engines = new EngineCountsPoller(client, workload.engines());
    workload.classes().forEach(this::addResults);
  }

  private void addResults(RequestClass requestClass) {
    resultsByClass.put(requestClass.name(), new ClassResults(requestClass, workload));
  }

  /** Runs the workload until all requests ended or the drain time expired. */
  LoadRun run() throws InterruptedException {
    List<Arrival> arrivals = ArrivalSchedule.of(workload);
    CountDownLatch inFlight = new CountDownLatch(arrivals.size());
    engines.poll().join();
    long startNanos = System.nanoTime();
    workload.failures().forEach(this::schedule);
    arrivals.forEach(arrival -> schedule(arrival, startNanos, inFlight));
    scheduler.scheduleWithFixedDelay(
        () -> engines.poll().join(), POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    boolean hasEnded =
        inFlight.await(workload.durationMs() + workload.drainMs(), TimeUnit.MILLISECONDS);
    LOG.info("event=load-ended all_requests_ended={} open={}", hasEnded, inFlight.getCount());
    engines.poll().join();
    LoadRun run = new LoadRun(report(), samples(), workload.failures());
    scheduler.shutdownNow();
    client.stop();
    return run;
  }

  private void schedule(Arrival arrival, long startNanos, CountDownLatch inFlight) {
    long intendedNanos = startNanos + arrival.atNanos();
    scheduler.schedule(
        () -> start(arrival, intendedNanos, inFlight::countDown),
        intendedNanos - System.nanoTime(),
        TimeUnit.NANOSECONDS);
  }

  private void start(Arrival arrival, long intendedNanos, Runnable onEnded) {
    ClassResults results = resultsByClass.get(arrival.requestClass().name());
    if (arrival.requestClass().kind() == RequestKind.GENERATION) {
      new GenerationCall(arrival, intendedNanos, context, workload.reconnect(), results, onEnded)
          .start();
      return;
    }
    new ServiceCall(arrival, intendedNanos, context, results, ledger, onEnded).start();
  }

  private void schedule(PlannedFailure failure) {
    scheduler.schedule(() -> postFailure(failure), failure.atMs(), TimeUnit.MILLISECONDS);
  }

  private void postFailure(PlannedFailure failure) {
    LOG.info("event=failure-posted at_ms={} url={}", failure.atMs(), failure.post());
    client
        .send(
            new RequestBuilder("POST")
                .setUrl(failure.post())
                .setBody(Json.write(failure.body()))
                .build())
        .exceptionally(
            error -> {
              LOG.info("event=failure-unanswered url={}", failure.post());
              return null;
            });
  }

  private LoadReport report() {
    List<ClassReport> classes = new ArrayList<>();
    workload
        .classes()
        .forEach(requestClass -> classes.add(resultsByClass.get(requestClass.name()).report()));
    ActionCheck actions = ledger.check(ServiceRuns.read(client, workload.services()));
    long delivered = classes.stream().mapToLong(ClassReport::tokensDelivered).sum();
    return new LoadReport(
        workload.seed(),
        workload.durationMs(),
        workload.targets(),
        Goodput.perSecond(classes, workload.durationMs()),
        Goodput.fairness(classes),
        engines.work(delivered),
        actions,
        classes);
  }

  private List<Sample> samples() {
    return resultsByClass.values().stream().flatMap(results -> results.samples().stream()).toList();
  }

  /**
   * The results of a run.
   *
   * @param report the report
   * @param samples one sample per measured stream
   * @param failures the planned failures
   */
  record LoadRun(LoadReport report, List<Sample> samples, List<PlannedFailure> failures) {}
}
