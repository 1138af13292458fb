package org.galenapost.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsTest {

  private static final String VALID =
      """
      daemon: {id: d1, data_centre: dc1}
      caller: {ip: 127.0.0.1, port: 8000}
      operator: {ip: 127.0.0.1, port: 8001, token: operator-token-1234}
      peer: {ip: "::1", port: 8002, secret: peer-secret-123456, seeds: ["10.0.0.2:8002"]}
      platform: {address: "10.0.0.1:7000"}
      resume: {keys: [{id: 7, secret: "0123456789abcdef0123456789abcdef"}]}
      """;

  @TempDir private Path folder;

  @Test
  void readsSettingsAndAppliesDefaults() throws IOException {
    // GIVEN
    Path file = write(VALID + "timings: {drain_notice_ms: 250}\n");

    // WHEN
    Settings settings = Settings.read(file).get();

    // THEN
    assertThat(settings.daemon().id()).isEqualTo("d1");
    assertThat(settings.peer().seeds()).containsExactly(new SocketAddressSetting("10.0.0.2", 8002));
    assertThat(settings.resume().keys().get(0).id()).isEqualTo(7);
    assertThat(settings.timings().drainNotice()).isEqualTo(Duration.ofMillis(250));
    assertThat(settings.limits().maxBodyBytes()).isEqualTo(1024 * 1024);
  }

  @Test
  void reportsAllFaultsInOnePass() throws IOException {
    // GIVEN
    String text =
        VALID
            .replace("ip: 127.0.0.1, port: 8000", "ip: entry.example, port: 8000")
            .replace("data_centre", "datacenter")
            .replace("10.0.0.1:7000", "platform:7000");

    // WHEN
    List<SettingsFault> faults = Settings.read(write(text)).getLeft();

    // THEN
    assertThat(faults)
        .extracting(SettingsFault::path)
        .containsExactlyInAnyOrder(
            "caller.ip", "daemon.data_centre", "daemon.datacenter", "platform.address");
    assertThat(faults)
        .allSatisfy(fault -> assertThat(fault.message()).contains("settings.yaml", "expected"));
  }

  @Test
  void rejectsConflictingPortsAndAcceptsPortZeroTwice() throws IOException {
    // GIVEN
    Path conflicting = write(VALID.replace("port: 8001", "port: 8000"));

    // WHEN
    Either<List<SettingsFault>, Settings> result = Settings.read(conflicting);
    Path portZero = write(VALID.replaceAll("port: 800[01]", "port: 0"));

    // THEN
    assertThat(result.getLeft()).extracting(SettingsFault::path).containsExactly("operator.port");
    assertThat(Settings.read(portZero).isRight()).isTrue();
  }

  @Test
  void omitsSecretsFromFaultsAndToString() throws IOException {
    // GIVEN
    Path file = write(VALID.replace("operator-token-1234", "hunter2"));

    // WHEN
    List<SettingsFault> faults = Settings.read(file).getLeft();

    // THEN
    assertThat(faults).hasSize(1);
    assertThat(faults.get(0).message()).contains("7 characters").doesNotContain("hunter2");
    assertThat(Settings.read(write(VALID)).get().toString())
        .doesNotContain("operator-token", "peer-secret", "0123456789abcdef");
  }

  @Test
  void reportsMalformedAndUnreadableFiles() throws IOException {
    // GIVEN
    Path malformed = write("daemon: {id: d1\ncaller: ]");
    Path empty = write("");

    // WHEN
    SettingsFault fault = Settings.read(malformed).getLeft().get(0);

    // THEN
    assertThat(fault.path()).startsWith("line ");
    assertThat(Settings.read(empty).isLeft()).isTrue();
    assertThat(Settings.read(folder.resolve("absent.yaml")).getLeft().get(0).expected())
        .isEqualTo("a readable file");
  }

  private Path write(String text) throws IOException {
    Path file = Files.createTempDirectory(folder, "case").resolve("settings.yaml");
    return Files.writeString(file, text);
  }
}
