package org.galenapost.daemon.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.SettingsFault;

/**
 * Reads the settings file again on a signal, and whenever its content has changed without one. A
 * file with faults changes nothing.
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
  private long lastModifiedMs;

  /**
   * Creates a reload; it checks nothing before it is started.
   *
   * @param file the settings file
   * @param inForce the settings that were read at the start
   * @param onChange told of new settings without faults
   */
  SettingsReload(Path file, GatewaySettings inForce, Consumer<GatewaySettings> onChange) {
    this.file = file;
    this.currentSettings = inForce;
    this.onChange = onChange;
    this.lastModifiedMs = readLastModifiedMs();
  }

  void start() {
    long periodMs = CHECK_PERIOD.toMillis();
    executor.scheduleWithFixedDelay(this::check, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Reads the file again because of a signal. */
  void onSignal() {
    executor.execute(() -> reload("signal"));
  }

  private void check() {
    if (readLastModifiedMs() != lastModifiedMs) {
      reload("file-changed");
    }
  }

  private synchronized void reload(String cause) {
    lastModifiedMs = readLastModifiedMs();
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

  private long readLastModifiedMs() {
    try {
      return Files.getLastModifiedTime(file).toMillis();
    } catch (IOException e) {
      LOG.warn("settings_unreadable").with("file", file).with("error", e).write();
      return lastModifiedMs;
    }
  }
}
