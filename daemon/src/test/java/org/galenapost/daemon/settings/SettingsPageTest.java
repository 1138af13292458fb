package org.galenapost.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");
  private static final Pattern EXAMPLE_LINE = Pattern.compile("(?m)^    (.*)$");

  @TempDir private Path folder;

  @Test
  void documentedExampleIsAccepted() throws IOException {
    // GIVEN
    String page = Files.readString(PAGE);
    List<String> lines = EXAMPLE_LINE.matcher(page).results().map(match -> match.group(1)).toList();

    // WHEN
    Path file = Files.write(folder.resolve("settings.yaml"), lines);

    // THEN
    assertThat(Settings.read(file).isRight()).isTrue();
  }

  @Test
  void documentationContainsEveryKnownKey() throws IOException {
    // GIVEN
    String unknownKeys =
        """
        daemon: {zzz: 1}
        caller: {zzz: 1, tls: {zzz: 1}}
        operator: {zzz: 1}
        peer: {zzz: 1}
        platform: {zzz: 1}
        resume: {zzz: 1, keys: [{zzz: 1}]}
        limits: {zzz: 1}
        timings: {zzz: 1}
        """;
    Path file = Files.writeString(folder.resolve("settings.yaml"), unknownKeys);

    // WHEN
    List<String> knownKeys =
        Settings.read(file).getLeft().stream()
            .filter(fault -> fault.path().endsWith("zzz"))
            .map(fault -> fault.expected().substring("one of ".length()))
            .flatMap(keys -> Stream.of(keys.split(", ")))
            .toList();

    // THEN
    String page = Files.readString(PAGE);
    assertThat(knownKeys).hasSizeGreaterThan(30).allMatch(key -> page.contains("`" + key + "`"));
  }
}
