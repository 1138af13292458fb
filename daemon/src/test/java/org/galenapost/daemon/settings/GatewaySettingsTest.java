package org.galenapost.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GatewaySettingsTest {

  private static final Path PAGE = Path.of("..", "docs", "GATEWAY.md");
  private static final Pattern EXAMPLE = Pattern.compile("(?s)```yaml\n(.*?)```");

  @TempDir private Path folder;

  @Test
  void acceptsDocumentedExample() throws IOException {
    Matcher example = EXAMPLE.matcher(Files.readString(PAGE));
    assertThat(example.find()).isTrue();

    Path file = Files.writeString(folder.resolve("gateway.yaml"), example.group(1));

    assertThat(GatewaySettings.read(file).get().repeats().ratio()).isEqualTo(0.8);
  }

  @Test
  void documentationContainsEveryKnownKey() throws IOException {
    String unknownKeys =
        """
        daemon: {zzz: 1}
        readiness: {zzz: 1}
        peer: {zzz: 1}
        platform: {zzz: 1}
        repeats: {zzz: 1}
        timings: {zzz: 1}
        """;
    Path file = Files.writeString(folder.resolve("gateway.yaml"), unknownKeys);

    List<String> knownKeys =
        GatewaySettings.read(file).getLeft().stream()
            .filter(fault -> fault.path().endsWith("zzz"))
            .map(fault -> fault.expected().substring("one of ".length()))
            .flatMap(keys -> Stream.of(keys.split(", ")))
            .filter(key -> !key.equals("event_loop_threads"))
            .toList();

    String page = Files.readString(PAGE);
    assertThat(knownKeys).hasSizeGreaterThan(12).allMatch(page::contains);
  }

  @Test
  void reportsAllFaultsInOnePass() throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("gateway.yaml"),
            "caller: {address: nowhere}\nrepeats: {ratio: much}\ntimings: {lapsed_use_ms: -1}\n");

    assertThat(GatewaySettings.read(file).getLeft())
        .extracting(SettingsFault::path)
        .contains("caller.address", "repeats.ratio", "timings.lapsed_use_ms", "peer.secret");
  }

  @Test
  void reportsListenersOnOnePort() throws IOException {
    Matcher example = EXAMPLE.matcher(Files.readString(PAGE));
    assertThat(example.find()).isTrue();
    String conflicting = example.group(1).replace("127.0.0.1:8081", "127.0.0.1:8080");

    Path file = Files.writeString(folder.resolve("gateway.yaml"), conflicting);

    assertThat(GatewaySettings.read(file).getLeft())
        .extracting(SettingsFault::path)
        .containsExactly("readiness.port");
  }
}
