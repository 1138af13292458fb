package org.galenapost.daemon.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.galenapost.core.route.CallKind;
import org.galenapost.core.route.CallerLimits;
import org.galenapost.core.route.GatewayConfiguration;
import org.galenapost.core.route.Route;
import org.galenapost.core.route.RouteTarget;
import org.galenapost.core.route.TargetService;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.settings.CallerSettings;
import org.galenapost.daemon.settings.DaemonSettings;
import org.galenapost.daemon.settings.GatewayLimits;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.GatewayTimings;
import org.galenapost.daemon.settings.OperatorSettings;
import org.galenapost.daemon.settings.PeerSettings;
import org.galenapost.daemon.settings.PlacementSettings;
import org.galenapost.daemon.settings.PlatformSettings;
import org.galenapost.daemon.settings.ReadinessSettings;
import org.galenapost.daemon.settings.RepeatSettings;
import org.galenapost.daemon.settings.SocketAddressSetting;

/**
 * Training run for a class data archive. Starts two gateways on loopback as peers of each other,
 * sends a request to each kind of listener, and stops both. When the JVM records the loaded classes
 * during this run, the resulting archive cuts the start time of a daemon to a fraction. Uses no
 * network but loopback.
 */
final class ClassArchiveTraining {

  private static final EventLog LOG = EventLog.of(ClassArchiveTraining.class);
  private static final String IP = "127.0.0.1";
  private static final String SECRET = "rehearsal on loopback";
  private static final String OWN_CLASSES = "org/galenapost/";
  private static final String CLASS_SUFFIX = ".class";
  private static final String READY_PATH = "/ready";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PEER_CONNECT_TIME = Duration.ofMillis(2_500);

  private static final String SETTINGS_FILE =
      """
      daemon: {id: "d1", data_centre: "dc1"}
      caller: {address: "127.0.0.1:1"}
      readiness: {address: "127.0.0.1:2", path: /ready}
      operator: {ip: "127.0.0.1", port: 3, token: only-for-the-training-run}
      peer: {address: "127.0.0.1:4", secret: only-for-the-training-run, seeds: ["127.0.0.1:5"]}
      platform: {address: "127.0.0.1:6", request_timeout_ms: 1500}
      repeats: {ratio: 0.5, window_s: 10, extra_sends: 1}
      timings: {lapsed_use_ms: 1500}
      """;

  private final GatewayAdapter adapter;

  ClassArchiveTraining(GatewayAdapter adapter) {
    this.adapter = adapter;
  }

  /** Performs the training run in the calling thread. */
  void run() {
    GatewayDaemon first = GatewayBuilder.build(settings("d1", 1, List.of()), adapter);
    first.start();
    GatewayDaemon second =
        GatewayBuilder.build(
            settings("d2", first.readinessPort(), List.of(first.peerPort())), adapter);
    second.start();
    try {
      loadOwnClasses();
      readSettingsFile();
      roundTripConfiguration();
      sendRequest(second.readinessPort(), READY_PATH);
      sendRequest(second.operatorPort(), "/metrics");
      sendRequest(second.callerPort(), "/");
      Thread.sleep(PEER_CONNECT_TIME.toMillis());
    } catch (IOException e) {
      LOG.error("rehearsal_failed").with("error", e).write();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      second.drainAndStop();
      first.stop();
    }
  }

  private static void readSettingsFile() throws IOException {
    Path file = Files.createTempFile("gateway", ".yaml");
    try {
      Files.writeString(file, SETTINGS_FILE);
      LOG.info("rehearsed_settings").with("read", GatewaySettings.read(file).isRight()).write();
    } finally {
      Files.delete(file);
    }
  }

  private static GatewaySettings settings(String id, int platformPort, List<Integer> seedPorts) {
    SocketAddressSetting anyPort = new SocketAddressSetting(IP, 0);
    return new GatewaySettings(
        new DaemonSettings(id, "dc1", 1),
        new CallerSettings(anyPort, Optional.empty()),
        new ReadinessSettings(anyPort, READY_PATH),
        new OperatorSettings(anyPort, SECRET),
        new PeerSettings(
            anyPort,
            SECRET,
            seedPorts.stream().map(port -> new SocketAddressSetting(IP, port)).toList()),
        new PlatformSettings(
            new SocketAddressSetting(IP, platformPort), CALL_TIMEOUT, CALL_TIMEOUT, true),
        GatewayLimits.defaults(),
        new RepeatSettings(1, CALL_TIMEOUT, 1),
        new GatewayTimings(CALL_TIMEOUT, CALL_TIMEOUT, CALL_TIMEOUT, Duration.ZERO, Duration.ZERO),
        Optional.empty(),
        new PlacementSettings(true));
  }

  /** Loads all classes of the program's jar, since the training run makes no calls. */
  private static void loadOwnClasses() throws IOException {
    CodeSource source = ClassArchiveTraining.class.getProtectionDomain().getCodeSource();
    Path path = Path.of(source.getLocation().getPath());
    if (!Files.isRegularFile(path)) {
      return;
    }
    try (JarFile jar = new JarFile(path.toFile())) {
      List<String> names =
          jar.stream()
              .map(JarEntry::getName)
              .filter(name -> name.startsWith(OWN_CLASSES) && name.endsWith(CLASS_SUFFIX))
              .map(name -> name.substring(0, name.length() - CLASS_SUFFIX.length()))
              .toList();
      for (String name : names) {
        load(name.replace('/', '.'));
      }
    }
  }

  private static void load(String className) {
    try {
      Class.forName(className, false, ClassArchiveTraining.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      LOG.warn("class_not_loaded").with("class", className).with("error", e).write();
    }
  }

  private static void roundTripConfiguration() {
    Route route =
        new Route(
            "r1",
            "host",
            "/",
            CallKind.STREAM,
            1_000,
            0,
            List.of(new RouteTarget("s1", 1)),
            1,
            true,
            true,
            OptionalLong.of(1));
    GatewayConfiguration configuration =
        new GatewayConfiguration(
            1,
            List.of(route),
            List.of(new TargetService("s1", 1, Optional.empty())),
            CallerLimits.defaults(),
            List.of());
    boolean isRead = GatewayConfiguration.read(configuration.toJson()).isRight();
    LOG.info("rehearsed_documents").with("read", isRead).write();
  }

  private static void sendRequest(int port, String path) throws IOException {
    try (Socket socket = new Socket(InetAddress.getByName(IP), port)) {
      String request = "GET " + path + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.setSoTimeout((int) CALL_TIMEOUT.toMillis());
      try (InputStream response = socket.getInputStream()) {
        LOG.info("rehearsed")
            .with("path", path)
            .with("bytes", response.readAllBytes().length)
            .write();
      }
    }
  }
}
