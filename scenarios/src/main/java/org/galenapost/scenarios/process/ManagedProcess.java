package org.galenapost.scenarios.process;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One child process, whose listening lines tell its ports. */
public final class ManagedProcess {

  /** The role under which a process names the port of its switches. */
  public static final String CONTROL_ROLE = "control";

  private static final Pattern LISTENING =
      Pattern.compile("event=listening role=(\\S+).*? port=(\\d+)(?: control_port=(\\d+))?");
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(20);

  private final String name;
  private final Process process;
  private final Map<String, Integer> portsByRole = new ConcurrentHashMap<>();

  private ManagedProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a program of the class path.
   *
   * @param name the name used in messages
   * @param command the command line
   * @param logFile the file that takes what it writes
   */
  public static ManagedProcess start(String name, List<String> command, Path logFile) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    try {
      ManagedProcess managed = new ManagedProcess(name, builder.start());
      managed.readOutput(logFile);
      return managed;
    } catch (IOException e) {
      throw new UncheckedIOException("process " + name + " did not start", e);
    }
  }

  private void readOutput(Path logFile) {
    Thread reader = new Thread(() -> readLines(logFile), "output-" + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void readLines(Path logFile) {
    try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8);
        PrintWriter log = new PrintWriter(newLogWriter(logFile), true)) {
      lines
          .lines()
          .forEach(
              line -> {
                log.println(line);
                recordPorts(line);
              });
    } catch (IOException | UncheckedIOException e) {
      portsByRole.putIfAbsent("closed", 0);
    }
  }

  private static BufferedWriter newLogWriter(Path logFile) throws IOException {
    return Files.newBufferedWriter(logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private void recordPorts(String line) {
    Matcher matcher = LISTENING.matcher(line);
    if (matcher.find()) {
      portsByRole.put(matcher.group(1), Integer.parseInt(matcher.group(2)));
      if (matcher.group(3) != null) {
        portsByRole.put(CONTROL_ROLE, Integer.parseInt(matcher.group(3)));
      }
    }
  }

  /**
   * Waits for the process to name the port of a role.
   *
   * @throws IllegalStateException if it ends or stays silent too long
   */
  public int awaitPort(String role) {
    long limitNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < limitNanos) {
      Integer port = portsByRole.get(role);
      if (port != null) {
        return port;
      }
      if (!process.isAlive()) {
        throw new IllegalStateException(
            "process " + name + " ended with code " + process.exitValue() + " before it listened");
      }
      pause(Duration.ofMillis(10));
    }
    throw new IllegalStateException("process " + name + " named no port for role " + role);
  }

  /** Returns whether the process runs. */
  public boolean isRunning() {
    return process.isAlive();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns what the system tells of the process. */
  public ProcessHandle.Info info() {
    return process.info();
  }

  /** Asks the process to end; its output is read on until it does. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Ends the process at once and waits until it is gone. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Suspends the process. */
  public void freeze() {
    signal("STOP");
  }

  /** Continues the process. */
  public void thaw() {
    signal("CONT");
  }

  /** Tells the process that its settings may have changed. */
  public void hangUp() {
    signal("HUP");
  }

  private void signal(String signal) {
    if (!process.isAlive()) {
      return;
    }
    List<String> command = new ArrayList<>();
    command.add("kill");
    command.add("-" + signal);
    command.add(Long.toString(process.pid()));
    try {
      new ProcessBuilder(command).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException("signal " + signal + " to " + name + " failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitExit() {
    awaitExit(EXIT_TIMEOUT);
  }

  /** Waits until the process is gone, and returns whether it is. */
  public boolean awaitExit(Duration limit) {
    try {
      return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Pauses the calling thread. */
  public static void pause(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
