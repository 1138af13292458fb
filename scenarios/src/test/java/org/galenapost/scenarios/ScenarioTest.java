package org.galenapost.scenarios;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.galenapost.scenarios.language.Scenario;
import org.galenapost.scenarios.language.ScenarioReader;
import org.galenapost.scenarios.run.ScenarioResult;
import org.galenapost.scenarios.run.ScenarioRunner;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {

  private static final Path SCRIPTS = Path.of("scripts");
  private static final Path KNOWN_RED = Path.of("..", "KNOWN-RED.txt");
  private static final Path WORK_FOLDER = Path.of("target", "scenarios");

  @TestFactory
  Stream<DynamicTest> scenariosPassAndFailWithoutTheirMechanism() throws IOException {
    List<DynamicTest> tests = new ArrayList<>();
    for (Path file : ScenarioReader.list(SCRIPTS)) {
      Scenario scenario = ScenarioReader.read(file);
      tests.add(dynamicTest(scenario.name() + " holds", () -> assertPasses(scenario)));
      if (scenario.without().isPresent()) {
        String name = scenario.name() + " fails without " + scenario.without().get();
        tests.add(dynamicTest(name, () -> assertFailsWithoutMechanism(scenario)));
      }
    }
    return tests.stream();
  }

  @Test
  void eachScenarioIsNamedAsItsFile() throws IOException {
    for (Path file : ScenarioReader.list(SCRIPTS)) {
      assertThat(ScenarioReader.read(file).name() + ".yaml")
          .as(
              "the scenario name must be the file name: it is also the work folder and must be"
                  + " unique")
          .isEqualTo(file.getFileName().toString());
    }
  }

  private static void assertPasses(Scenario scenario) throws IOException {
    ScenarioResult result = new ScenarioRunner(WORK_FOLDER).run(scenario);

    System.out.println(result.toLogLine());
    abortIfKnownRed(result);
    assertThat(result.failure()).as(result.toLogLine()).isEmpty();
  }

  /**
   * Aborts the test if its failed scenario is listed in KNOWN-RED.txt. Listed scenarios still run.
   */
  private static void abortIfKnownRed(ScenarioResult result) throws IOException {
    boolean isListed =
        Files.exists(KNOWN_RED)
            && Files.readAllLines(KNOWN_RED).contains("test: scenario " + result.name());
    if (isListed && !result.hasPassed()) {
      Assumptions.abort("known red: " + result.toLogLine());
    }
  }

  private static void assertFailsWithoutMechanism(Scenario scenario) {
    ScenarioResult result = new ScenarioRunner(WORK_FOLDER).runWithoutMechanism(scenario);

    System.out.println(result.toLogLine());
    assertThat(result.failure()).as("without " + scenario.without().orElseThrow()).isPresent();
  }
}
