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

/** One child process. Its ports are read from the {@code event=listening} lines of its log. */
public final class ManagedProcess {

  /** The role of the control port, which serves the fault switches of a stand-in. */
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
   * Starts a child process.
   *
   * @param name the name used in messages and thread names
   * @param command the command line
   * @param logFile the file to which its standard output and standard error are appended
   */
  public static ManagedProcess start(String name, List<String> command, Path logFile) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    try {
      ManagedProcess managed = new ManagedProcess(name, builder.start());
      managed.readOutput(logFile);
      return managed;
    } catch (IOException e) {
      throw new UncheckedIOException("process " + name + " failed to start", e);
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
   * Waits until the process logs the port of a role.
   *
   * @throws IllegalStateException if the process exits or the start timeout expires first
   */
  public int awaitPort(String role) {
    long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < deadlineNanos) {
      Integer port = portsByRole.get(role);
      if (port != null) {
        return port;
      }
      if (!process.isAlive()) {
        throw new IllegalStateException(
            "process "
                + name
                + " exited with code "
                + process.exitValue()
                + " before it logged a port");
      }
      pause(Duration.ofMillis(10));
    }
    throw new IllegalStateException("process " + name + " logged no port for role " + role);
  }

  /** Returns whether the process is running. */
  public boolean isRunning() {
    return process.isAlive();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns the process information of the operating system. */
  public ProcessHandle.Info info() {
    return process.info();
  }

  /** Sends SIGTERM. The output is still read until the process exits. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Sends SIGKILL and waits for the process to exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Suspends the process with SIGSTOP. */
  public void freeze() {
    signal("STOP");
  }

  /** Resumes the process with SIGCONT. */
  public void thaw() {
    signal("CONT");
  }

  /** Sends SIGHUP, which makes the process reload its settings. */
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

  /** Waits for the process to exit, and returns whether it exited within the limit. */
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
