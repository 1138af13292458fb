package org.galenapost.daemon.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.SettingsFault;

/**
 * Reloads the settings file on a signal and when its modification time has changed. A file with
 * faults leaves the current settings in force.
 */
final class SettingsReload {

  private static final EventLog LOG = EventLog.of(SettingsReload.class);
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(3);

  private final Path file;
  private final Consumer<GatewaySettings> onChange;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "settings-reload");
            thread.setDaemon(true);
            return thread;
          });
  private GatewaySettings currentSettings;
  private Optional<FileState> lastFileState = Optional.empty();

  /**
   * Creates a reload that does not check the file until it is started.
   *
   * @param file the settings file
   * @param currentSettings the settings that the daemon started with
   * @param onChange receives changed settings that have no faults
   */
  SettingsReload(Path file, GatewaySettings currentSettings, Consumer<GatewaySettings> onChange) {
    this.file = file;
    this.currentSettings = currentSettings;
    this.onChange = onChange;
    this.lastFileState = readFileState();
  }

  void start() {
    long periodMs = CHECK_PERIOD.toMillis();
    executor.scheduleWithFixedDelay(this::check, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Reloads the file because of a signal. */
  void onSignal() {
    executor.execute(() -> reload("signal"));
  }

  private void check() {
    if (!readFileState().equals(lastFileState)) {
      reload("file-changed");
    }
  }

  private synchronized void reload(String cause) {
    lastFileState = readFileState();
    Either<List<SettingsFault>, GatewaySettings> read = GatewaySettings.read(file);
    if (read.isLeft()) {
      LOG.warn("settings_refused").with("cause", cause).with("faults", read.getLeft()).write();
      return;
    }
    boolean isChanged = !read.get().equals(currentSettings);
    LOG.info("settings_reloaded").with("cause", cause).with("changed", isChanged).write();
    if (isChanged) {
      currentSettings = read.get();
      onChange.accept(currentSettings);
    }
  }

  private Optional<FileState> readFileState() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return Optional.of(
          new FileState(
              attributes.lastModifiedTime(),
              attributes.size(),
              String.valueOf(attributes.fileKey())));
    } catch (IOException e) {
      LOG.warn("settings_unreadable").with("file", file).with("error", e).write();
      return lastFileState;
    }
  }

  /** Tells versions of a file apart, also ones that were written within one clock tick. */
  private record FileState(FileTime lastModified, long sizeBytes, String fileKey) {}
}
