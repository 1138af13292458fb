package org.galenapost.scenarios.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.DoublePredicate;
import java.util.stream.Stream;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.StoreContentWriter;

/**
 * A gateway process with little memory, a flood of clients that misbehave, and the checks that hold
 * whatever they do.
 */
final class FloodedGateway implements AutoCloseable {

  /** Options of the deployment, with a smaller heap and less direct memory. */
  static final ProcessOptions SMALL_PROCESS =
      ProcessOptions.ofJvm(
          List.of(
              "-Xmx48m",
              "-Xss256k",
              "-XX:MaxNewSize=12m",
              "-XX:MaxDirectMemorySize=16m",
              "-XX:ReservedCodeCacheSize=24m",
              "-XX:+ExitOnOutOfMemoryError",
              "-Dio.netty.allocator.type=unpooled"));

  static final String KEY = SoakFaults.KEYS.get(0);
  static final int DEADLINE_MS = 3_000;
  static final Duration SETTLE_TIME = Duration.ofMillis(500);

  private static final int MAX_RESIDENT_KB = 200 * 1024;
  private static final int MAX_DESCRIPTORS = 500;
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final String SHORT_BODY = "p".repeat(65_000);
  private static final int ANSWER_ATTEMPTS = 40;
  private static final int GAUGE_POLLS = 60;
  private static final Duration ATTEMPT_PAUSE = Duration.ofMillis(250);

  private final SoakFleet fleet;
  private final SoakDaemon daemon;
  private final MisbehavingClients clients = new MisbehavingClients();

  FloodedGateway(Path folder, ProcessOptions options) {
    this(folder, options, Duration.ofMillis(StoreContentWriter.ROUTE_TIMEOUT_MS));
  }

  FloodedGateway(Path folder, ProcessOptions options, Duration routeTimeout) {
    fleet = new SoakFleet(folder, 1, options);
    fleet.content().setRouteTimeoutMs(routeTimeout.toMillis());
    fleet.content().setLimit("max_header_bytes", MAX_HEAD_BYTES);
    fleet.content().setLimit("max_body_bytes", 4_194_304);
    fleet.content().setLimit("header_timeout_ms", 5_000);
    fleet.content().setLimit("idle_timeout_ms", 15_000);
    fleet.writeConfig(KEY);
    fleet.startDaemons();
    daemon = fleet.daemons().get(0);
  }

  SoakFleet fleet() {
    return fleet;
  }

  SoakDaemon daemon() {
    return daemon;
  }

  MisbehavingClients clients() {
    return clients;
  }

  int callerPort() {
    return daemon.callerPort();
  }

  /** Replaces the servers of a service by ones at ports of the loopback address. */
  void replaceServers(String service, int... ports) throws IOException {
    List<String> replaced =
        fleet.servers().stream()
            .map(server -> server.currentInstance().instanceId())
            .filter(id -> id.startsWith(service))
            .toList();
    replaced.forEach(fleet.content()::deregisterServer);
    for (int port : ports) {
      fleet
          .content()
          .registerServer("scripted-" + port, "127.0.0.1:" + port, service, "z1", "ready", "v1");
    }
    int serverCount = fleet.servers().size() - replaced.size() + ports.length;
    awaitGauge("galenapost_gateway_instances", value -> value == serverCount);
    ManagedProcess.pause(SETTLE_TIME.multipliedBy(2));
  }

  /** Waits until a gauge has a value that meets a condition, and checks that it does. */
  void awaitGauge(String name, DoublePredicate condition) throws IOException {
    double value = gauge(name);
    for (int poll = 0; poll < GAUGE_POLLS && !condition.test(value); poll++) {
      ManagedProcess.pause(ATTEMPT_PAUSE);
      value = gauge(name);
    }
    assertThat(value).as(name).matches(condition::test);
  }

  /** Checks that the process lives, stays within its bounds and serves an ordinary caller. */
  void assertSurvival() throws IOException {
    assertSurvival(MAX_RESIDENT_KB, MAX_DESCRIPTORS);
  }

  /** Checks the same with another bound of descriptors. */
  void assertSurvival(int maxDescriptors) throws IOException {
    assertSurvival(MAX_RESIDENT_KB, maxDescriptors);
  }

  /** Checks the same with another bound of memory. */
  void assertSurvivalWithin(int maxResidentKb) throws IOException {
    assertSurvival(maxResidentKb, MAX_DESCRIPTORS);
  }

  private void assertSurvival(int maxResidentKb, int maxDescriptors) throws IOException {
    clients.awaitSent();
    ManagedProcess.pause(SETTLE_TIME);
    assertThat(daemon.hasExitedUnexpectedly()).as("the process exited").isFalse();
    assertThat(peakResidentKb()).as("peak resident memory in KB").isLessThan(maxResidentKb);
    assertThat(descriptorCount()).as("open descriptors").isLessThan(maxDescriptors);
    clients.close();
    boolean isAnswered = isAnswered("GET", "/read/1", "");
    assertThat(daemon.hasExitedUnexpectedly()).as("the process exited").isFalse();
    assertThat(isAnswered).as("an ordinary request is answered").isTrue();
  }

  /** Checks that ordinary callers get answers, with a body and without, during the flood. */
  void assertServesOthersDuringFlood() {
    clients.awaitSent();
    ManagedProcess.pause(SETTLE_TIME);
    boolean isAnswered =
        isAnswered("GET", "/read/1", "") && isAnswered("POST", "/act/1", SHORT_BODY);
    assertThat(daemon.hasExitedUnexpectedly()).as("the process exited").isFalse();
    assertThat(isAnswered).as("ordinary requests are answered during the flood").isTrue();
  }

  /** Returns the value of a gauge without labels, as the operator port shows it. */
  double gauge(String name) throws IOException {
    try (RawHttpClient operator = new RawHttpClient(daemon.ports().operator())) {
      String page = operator.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").readResponse().body();
      return page.lines()
          .filter(line -> line.startsWith(name + " "))
          .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
          .findFirst()
          .orElseThrow();
    }
  }

  private long peakResidentKb() throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + daemon.pid() + "/status"))) {
      return lines
          .filter(line -> line.startsWith("VmHWM:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElseThrow();
    }
  }

  private long descriptorCount() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + daemon.pid() + "/fd"))) {
      return descriptors.count();
    }
  }

  private boolean isRunning() {
    return !daemon.hasExitedUnexpectedly();
  }

  private boolean isAnswered(String method, String target, String body) {
    for (int attempt = 0; attempt < ANSWER_ATTEMPTS && isRunning(); attempt++) {
      try (RawHttpClient caller = new RawHttpClient(daemon.callerPort())) {
        caller.setReadTimeout(Duration.ofMillis(DEADLINE_MS));
        String request =
            StoreContentWriter.request(method, target, "o" + attempt, KEY, DEADLINE_MS, body);
        if (caller.send(request).readResponse().status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // The daemon may be busy closing connections.
        ManagedProcess.pause(ATTEMPT_PAUSE);
        continue;
      }
      ManagedProcess.pause(ATTEMPT_PAUSE);
    }
    return false;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] join(byte[] first, byte[] second) {
    return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
  }

  @Override
  public void close() {
    clients.close();
    fleet.close();
  }
}
