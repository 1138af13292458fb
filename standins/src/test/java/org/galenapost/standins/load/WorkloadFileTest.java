package org.galenapost.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkloadFileTest {

  @ParameterizedTest
  @ValueSource(strings = {"nordlys.yaml", "collectors.yaml"})
  void readsTheShippedWorkloads(String name) {
    // WHEN
    Workload workload = WorkloadFile.read(Path.of("../config/workloads", name)).get();

    // THEN
    assertThat(workload.validationErrors()).isEmpty();
  }

  @Test
  void generatesTheSameArrivalsFromTheSameSeed() {
    // GIVEN
    Workload workload = WorkloadFile.read(Path.of("../config/workloads/nordlys.yaml")).get();

    // WHEN
    List<Arrival> arrivals = ArrivalSchedule.of(workload);

    // THEN
    assertThat(arrivals).isEqualTo(ArrivalSchedule.of(workload)).isNotEmpty();
    assertThat(arrivals.stream().map(Arrival::key)).doesNotHaveDuplicates();
  }

  @Test
  void reportsEveryInvalidValue(@TempDir Path directory) throws IOException {
    // GIVEN
    Path file = directory.resolve("w.yaml");
    Files.writeString(
        file,
        """
        duration_ms: 0
        targets: ["10.0.0.1:80", "localhost:80"]
        failures: [{at_ms: 1, post: "http://8.8.8.8:80/x"}]
        """);

    // WHEN
    List<String> errors = WorkloadFile.read(file).get().validationErrors();

    // THEN
    assertThat(errors)
        .hasSize(5)
        .anyMatch(error -> error.contains("expected a loopback address, but found 10.0.0.1:80"))
        .anyMatch(error -> error.contains("expected IP:PORT, but found localhost:80"))
        .anyMatch(error -> error.startsWith("failures.post"));
  }

  @Test
  void rejectsAnUnknownKey(@TempDir Path directory) throws IOException {
    // GIVEN
    Path file = directory.resolve("w.yaml");
    Files.writeString(file, "durations_ms: 5\n");

    // THEN
    assertThat(WorkloadFile.read(file).getLeft().get(0)).contains("durations_ms");
  }
}
