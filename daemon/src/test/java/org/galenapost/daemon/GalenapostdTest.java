package org.galenapost.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GalenapostdTest {

  private static final String SETTINGS =
      """
      daemon: {id: d1, data_centre: dc1}
      caller: {ip: 127.0.0.1, port: 8000}
      operator: {ip: 127.0.0.1, port: 8001, token: operator-token-1234}
      peer: {ip: 127.0.0.1, port: 8002, secret: peer-secret-123456}
      platform: {address: "127.0.0.1:7000"}
      resume: {keys: [{id: 7, secret: "0123456789abcdef0123456789abcdef"}]}
      """;

  @TempDir private Path folder;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int check(String... args) {
    return Galenapostd.check(new PrintStream(output), new PrintStream(errors), args);
  }

  private String write(String settings) throws IOException {
    return Files.writeString(folder.resolve("settings.yaml"), settings).toString();
  }

  @Test
  void printsOneLinePerFaultAndExitsWithUsageCode() throws IOException {
    // GIVEN
    String file =
        write(
            SETTINGS
                .replace("caller: {ip: 127.0.0.1", "caller: {ip: entry.example")
                .replace("port: 8002", "port: 8001")
                .replace("id: d1", "id: d1, colour: blue"));

    // WHEN
    int code = check("--settings", file);

    // THEN
    assertThat(code).isEqualTo(2);
    assertThat(errors.toString(StandardCharsets.UTF_8).lines())
        .hasSize(3)
        .allMatch(line -> line.startsWith(file + ": "))
        .anyMatch(line -> line.contains("caller.ip"))
        .anyMatch(line -> line.contains("peer.port"))
        .anyMatch(line -> line.contains("daemon.colour"));
  }

  @Test
  void checksSettingsWithoutStarting() throws IOException {
    // GIVEN
    String file = write(SETTINGS);

    // WHEN
    int code = check("--settings", file, "--check");

    // THEN
    assertThat(code).isZero();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("no fault found");
  }

  @Test
  void rejectsUnknownOptionAndMissingSettings() {
    // WHEN
    int unknown = check("--settings", "x", "--colour");
    int missing = check();

    // THEN
    assertThat(unknown).isEqualTo(2);
    assertThat(missing).isEqualTo(2);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("--settings");
  }
}
