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

/** Runs a workload: sends each request at its time, whatever became of those before. */
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
        new LoadClient(Duration.ofMillis(workload.durationMs() + workload.drainMs() + CALL_TIMEOUT_MARGIN_MS));
    this.context = new CallContext(client, new Targets(workload.targets()), scheduler);
    this.engines = new EngineCountsPoller(client, workload.engines());
    workload.classes().forEach(this::addResults);
  }

  private void addResults(RequestClass requestClass) {
    resultsByClass.put(requestClass.name(), new ClassResults(requestClass, workload));
  }

  /** Runs the workload and returns when all requests have ended or their time is over. */
  LoadRun run() throws InterruptedException {
    List<Arrival> arrivals = ArrivalSchedule.of(workload);
    CountDownLatch open = new CountDownLatch(arrivals.size());
    engines.poll().join();
    long startNanos = System.nanoTime();
    workload.failures().forEach(this::schedule);
    arrivals.forEach(arrival -> schedule(arrival, startNanos, open));
    scheduler.scheduleWithFixedDelay(
        () -> engines.poll().join(), POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    boolean hasEnded =
        open.await(workload.durationMs() + workload.drainMs(), TimeUnit.MILLISECONDS);
    LOG.info("event=load-ended all_requests_ended={} open={}", hasEnded, open.getCount());
    engines.poll().join();
    LoadRun run = new LoadRun(report(), samples(), workload.failures());
    scheduler.shutdownNow();
    client.stop();
    return run;
  }

  private void schedule(Arrival arrival, long startNanos, CountDownLatch open) {
    long intendedNanos = startNanos + arrival.atNanos();
    scheduler.schedule(
        () -> start(arrival, intendedNanos, open::countDown),
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
            problem -> {
              LOG.info("event=failure-unanswered url={}", failure.post());
              return null;
            });
  }

  private LoadReport report() {
    List<ClassReport> classes = new ArrayList<>();
    workload.classes().forEach(one -> classes.add(resultsByClass.get(one.name()).report()));
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
    return resultsByClass.values().stream().flatMap(one -> one.samples().stream()).toList();
  }

  /**
   * What a run gave.
   *
   * @param report the report
   * @param samples one sample for each stream
   * @param failures the failures that were planned
   */
  record LoadRun(LoadReport report, List<Sample> samples, List<PlannedFailure> failures) {}
}
