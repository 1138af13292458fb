package org.galenapost.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.galenapost.standins.service.ServiceStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LoadRunnerTest {

  @Test
  void completesAllCorrectAnswers() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.NONE, true);

    // THEN
    assertThat(report.outcomes().sent()).isPositive();
    assertThat(report.outcomes().completed()).isEqualTo(report.outcomes().sent());
    assertThat(report.tokensDelivered()).isEqualTo(20 * report.outcomes().sent());
    assertThat(report.latencies().firstToken().count()).isEqualTo(report.outcomes().sent());
  }

  @Test
  void verifiesButDoesNotMeasureWarmUpRequests() throws Exception {
    try (StubCallerPort port = new StubCallerPort(StubCallerPort.Fault.NONE)) {
      // GIVEN a warm-up that lasts the whole run
      Workload workload = workload(port.address(), RequestKind.GENERATION, true, List.of(), 200);

      // WHEN
      ClassReport report = new LoadRunner(workload).run().report().classes().get(0);

      // THEN
      assertThat(report.outcomes().completed()).isEqualTo(report.outcomes().sent());
      assertThat(report.latencies().firstToken().count()).isZero();
    }
  }

  @Test
  void resumesABrokenStreamWithItsLastEventId() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.BREAK_STREAM_ONCE, true);

    // THEN
    assertThat(report.integrity()).isEqualTo(new ClassReport.Integrity(0, 0, 1, 0));
    assertThat(report.outcomes().completed()).isEqualTo(report.outcomes().sent());
  }

  @Test
  void countsABrokenStreamWithoutReconnect() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.BREAK_STREAM_ONCE, false);

    // THEN
    assertThat(report.outcomes().broken()).isEqualTo(1);
  }

  @Test
  void countsWrongTokens() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.WRONG_TOKEN, true);

    // THEN
    assertThat(report.integrity().mismatches()).isEqualTo(report.outcomes().sent());
    assertThat(report.outcomes().completed()).isZero();
  }

  @Test
  void countsDuplicateTokens() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.DUPLICATE_TOKEN, true);

    // THEN
    assertThat(report.integrity().duplicates()).isEqualTo(report.outcomes().sent());
    assertThat(report.outcomes().completed()).isZero();
  }

  @Test
  void countsRefusalsByReasonAndVerdict() throws Exception {
    // WHEN
    ClassReport report = run(StubCallerPort.Fault.REFUSE_REQUESTS, true);

    // THEN
    assertThat(report.refusals())
        .containsExactly(new Refusals("queue-full", "not-run", report.outcomes().sent()));
  }

  @Test
  void detectsActionsThatRanTwice() throws Exception {
    // GIVEN a service that does not deduplicate actions and is called without a daemon
    ServiceStandin service = new ServiceStandin(0, () -> {});
    service.start();
    String address = "127.0.0.1:" + service.port();

    // WHEN
    LoadReport report =
        new LoadRunner(workload(address, RequestKind.ACTION, true, List.of(address)))
            .run()
            .report();
    service.stop();

    // THEN
    assertThat(report.actions().keys()).isPositive();
    assertThat(report.actions().doubleRuns()).isEqualTo(report.actions().keys());
    assertThat(report.isCorrect()).isFalse();
  }

  @Test
  void writesTableAndPlot(@TempDir Path directory) throws Exception {
    // GIVEN
    Path plot = directory.resolve("plot.png");
    try (StubCallerPort port = new StubCallerPort(StubCallerPort.Fault.NONE)) {
      LoadRunner.LoadRun run =
          new LoadRunner(workload(port.address(), RequestKind.GENERATION, true, List.of())).run();

      // WHEN
      ReportPlot.write(run, plot);

      // THEN
      assertThat(Files.size(plot)).isPositive();
      assertThat(ReportTable.of(run.report())).contains("first-token", "mismatches=0");
    }
  }

  private static ClassReport run(StubCallerPort.Fault fault, boolean reconnects) throws Exception {
    try (StubCallerPort port = new StubCallerPort(fault)) {
      Workload workload = workload(port.address(), RequestKind.GENERATION, reconnects, List.of());
      return new LoadRunner(workload).run().report().classes().get(0);
    }
  }

  private static Workload workload(
      String target, RequestKind kind, boolean reconnects, List<String> services) {
    return workload(target, kind, reconnects, services, 0);
  }

  private static Workload workload(
      String target, RequestKind kind, boolean reconnects, List<String> services, long warmUpMs) {
    RequestClass requestClass =
        new RequestClass(
            "c", kind, 50, "w", "key", null, null, null, null, 2, 300, 50, 20, 0, "s", "p", 2);
    return new Workload(
        1,
        200,
        warmUpMs,
        30_000,
        0,
        reconnects,
        List.of(target),
        List.of(),
        services,
        List.of(requestClass),
        List.of());
  }
}
