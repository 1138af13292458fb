package org.galenapost.scenarios.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.scenarios.language.FleetSpec;
import org.galenapost.scenarios.process.ManagedProcess;

/** Runs all processes of a scenario: starts them in dependency order and kills them on close. */
public final class RunningFleet implements AutoCloseable {

  /** The IP address that every process listens on. */
  public static final String LOOPBACK = "127.0.0.1";

  private static final String PLATFORM = "platform";
  private static final String DEFAULT_DATA_CENTRE = "dc1";
  private static final FleetSpec.WorkspaceSpec DEFAULT_WORKSPACE =
      new FleetSpec.WorkspaceSpec(
          "clerks", "clerks-key-0123456789", Optional.empty(), Optional.empty());

  private final FleetSpec spec;
  private final ProcessStarter starter;
  private final Ports ports = new Ports();
  private final Map<String, ManagedProcess> processesByName = new LinkedHashMap<>();
  private final Map<String, Integer> linkControlPortsByName = new HashMap<>();
  private PlatformContent platformContent;

  private RunningFleet(FleetSpec spec, ProcessStarter starter) {
    this.spec = spec;
    this.starter = starter;
  }

  /**
   * Starts the processes of a scenario and waits until the daemons are ready.
   *
   * @param spec the processes to start
   * @param folder the folder for settings files and process output; created if absent
   * @param naiveMechanism the mechanism to replace by a naive version in all daemons, if any
   * @return the started fleet
   * @throws UncheckedIOException if the folder cannot be created
   * @throws IllegalStateException if a daemon does not become ready in time
   */
  public static RunningFleet start(FleetSpec spec, Path folder, Optional<String> naiveMechanism) {
    try {
      Files.createDirectories(folder);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot create the folder for settings and process output", e);
    }
    RunningFleet fleet = new RunningFleet(spec, new ProcessStarter(folder, naiveMechanism));
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "fleet-close"));
    try {
      fleet.startAll();
      return fleet;
    } catch (RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() {
    startPlatform();
    spec.engines().forEach(this::startEngineUnlessLater);
    services().forEach(this::startService);
    for (FleetSpec.DaemonSpec daemon : spec.daemons()) {
      if (!daemon.startLater().orElse(false)) {
        startDaemon(daemon);
      }
    }
    processesByName.keySet().stream().filter(this::isDaemon).forEach(this::awaitReady);
  }

  private List<FleetSpec.ServiceSpec> services() {
    return spec.services().orElse(List.of());
  }

  private void startPlatform() {
    List<String> arguments = spec.platformArguments().orElse(List.of());
    startStandin(PLATFORM, PLATFORM, arguments);
    platformContent = new PlatformContent(standinUrl(PLATFORM));
    platformContent.writeProfiles(spec.profiles().orElse(List.of()));
    workspaces().forEach(platformContent::writeWorkspace);
    platformContent.writeModels(models());
  }

  private Set<String> models() {
    return spec.engines().stream()
        .flatMap(engine -> engine.models().stream())
        .collect(Collectors.toSet());
  }

  private List<FleetSpec.WorkspaceSpec> workspaces() {
    return spec.workspaces().orElse(List.of(DEFAULT_WORKSPACE));
  }

  private void startStandin(String name, String role, List<String> options) {
    List<String> arguments = new ArrayList<>(List.of(role));
    arguments.add("--port");
    arguments.add(Integer.toString(ports.get(name, role)));
    arguments.addAll(options);
    ManagedProcess process = starter.startStandin(name, arguments);
    processesByName.put(name, process);
    ports.remember(name, role, process.awaitPort(role));
  }

  private void startEngineUnlessLater(FleetSpec.EngineSpec engine) {
    if (!engine.startLater().orElse(false)) {
      startEngine(engine);
    }
  }

  private void startEngine(FleetSpec.EngineSpec engine) {
    boolean isRegistered = ports.get(engine.id(), "engine") != Ports.ANY;
    List<String> options = new ArrayList<>();
    engine.models().forEach(model -> options.addAll(List.of("--model", model + ":v1")));
    options.add("--checks-fencing");
    options.add(Boolean.toString(engine.checksFencing().orElse(true)));
    options.addAll(engine.arguments().orElse(List.of()));
    startStandin(engine.id(), "engine", options);
    if (!isRegistered) {
      registerEngine(engine);
    }
  }

  private void registerEngine(FleetSpec.EngineSpec engine) {
    String dataCentre = engine.dataCentre().orElse(DEFAULT_DATA_CENTRE);
    int port = reachablePort(engine.id(), "engine", engine.link().orElse(false));
    platformContent.writeEngine(engine, port, dataCentre);
    platformContent.putHost(engine.id(), "engine", port, dataCentre, "live");
  }

  private void startService(FleetSpec.ServiceSpec service) {
    startStandin(service.id(), "service", List.of());
    String dataCentre = service.dataCentre().orElse(DEFAULT_DATA_CENTRE);
    int port = reachablePort(service.id(), "service", service.link().orElse(false));
    platformContent.writeService(service, port, dataCentre);
    platformContent.putHost(service.id(), "service", port, dataCentre, "live");
  }

  private int reachablePort(String name, String role, boolean throughLink) {
    int port = ports.get(name, role);
    return throughLink ? startLink(name, port) : port;
  }

  private int startLink(String name, int targetPort) {
    String linkName = "link-" + name;
    String target = LOOPBACK + ":" + targetPort;
    ManagedProcess process = starter.startStandin(linkName, List.of("link", "--target", target));
    processesByName.put(linkName, process);
    linkControlPortsByName.put(linkName, process.awaitPort(ManagedProcess.CONTROL_ROLE));
    return process.awaitPort("link");
  }

  private void startDaemon(FleetSpec.DaemonSpec daemon) {
    int platformPort = ports.get(PLATFORM, PLATFORM);
    if (daemon.platformLink().orElse(false)) {
      platformPort = startLink(daemon.id() + "-" + PLATFORM, platformPort);
    }
    ManagedProcess process = starter.startDaemon(daemon, ports, platformPort);
    processesByName.put(daemon.id(), process);
    for (String role : List.of("caller", "operator", "peer")) {
      ports.remember(daemon.id(), role, process.awaitPort(role));
    }
    platformContent.putHost(
        daemon.id(),
        "daemon",
        ports.get(daemon.id(), "peer"),
        DaemonSettingsFile.dataCentre(daemon),
        "live");
  }

  private void awaitReady(String daemon) {
    Readiness.await(operatorUrl(daemon), daemon);
  }

  private boolean isDaemon(String name) {
    return spec.daemons().stream().anyMatch(daemon -> daemon.id().equals(name));
  }

  /**
   * Starts a daemon or an engine. A restarted process listens on the same ports as before.
   *
   * @param name the name of the daemon or engine
   */
  public void start(String name) {
    spec.daemons().stream().filter(daemon -> daemon.id().equals(name)).forEach(this::startDaemon);
    spec.engines().stream().filter(engine -> engine.id().equals(name)).forEach(this::startEngine);
  }

  /**
   * Returns a started process.
   *
   * @param name the name of the process
   * @throws IllegalArgumentException if no started process has the name
   */
  public ManagedProcess process(String name) {
    ManagedProcess process = processesByName.get(name);
    if (process == null) {
      throw new IllegalArgumentException("no started process has the name " + name);
    }
    return process;
  }

  /** Returns the address of a daemon's caller port, in the form {@code ip:port}. */
  public String callerAddress(String daemon) {
    return LOOPBACK + ":" + ports.get(daemon, "caller");
  }

  /** Returns the base URL of a daemon's operator port. */
  public String operatorUrl(String daemon) {
    return "http://" + LOOPBACK + ":" + ports.get(daemon, "operator");
  }

  /** Returns the bearer token for the operator ports of all daemons. */
  public String operatorToken() {
    return DaemonSettingsFile.OPERATOR_TOKEN;
  }

  /**
   * Returns the base URL of a stand-in; for a link, the URL of its control port.
   *
   * @param name the name of the stand-in
   * @throws IllegalArgumentException if no started stand-in has the name
   */
  public String standinUrl(String name) {
    if (linkControlPortsByName.containsKey(name)) {
      return "http://" + LOOPBACK + ":" + linkControlPortsByName.get(name);
    }
    for (String role : List.of(PLATFORM, "engine", "service")) {
      int port = ports.get(name, role);
      if (port != Ports.ANY) {
        return "http://" + LOOPBACK + ":" + port;
      }
    }
    throw new IllegalArgumentException("no started stand-in has the name " + name);
  }

  /**
   * Returns the base URL of the control port of a link.
   *
   * @param name the name of the link without its {@code link-} prefix: the engine or service that
   *     it leads to, or {@code <daemon>-platform}
   * @throws IllegalArgumentException if there is no such link
   */
  public String linkUrl(String name) {
    Integer port = linkControlPortsByName.get("link-" + name);
    if (port == null) {
      throw new IllegalArgumentException("no started link leads to " + name);
    }
    return "http://" + LOOPBACK + ":" + port;
  }

  /** Returns the names of the processes that run a plain service. */
  public List<String> serviceProcesses(String service) {
    return services().stream()
        .filter(candidate -> candidate.service().equals(service))
        .map(FleetSpec.ServiceSpec::id)
        .toList();
  }

  /**
   * Returns the bearer key of a workspace.
   *
   * @param workspace the name of the workspace; the first workspace if empty
   * @throws IllegalArgumentException if the scenario defines no such workspace
   */
  public String workspaceKey(Optional<String> workspace) {
    return workspaces().stream()
        .filter(candidate -> workspace.map(candidate.name()::equals).orElse(true))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "the scenario defines no workspace with the name " + workspace))
        .key();
  }

  /** Sets the state of a process in the platform's host list. */
  public void setHostState(String process, String state) {
    platformContent.setHostState(process, state);
  }

  /**
   * Runs the operators' tool against a daemon and waits until it exits.
   *
   * @param daemon the name of the daemon
   * @param arguments the arguments after the daemon's address and the token
   */
  public CommandResult runCommandLine(String daemon, List<String> arguments) {
    String address = LOOPBACK + ":" + ports.get(daemon, "operator");
    return starter.runCommandLine(address, arguments);
  }

  @Override
  public void close() {
    processesByName.values().forEach(ManagedProcess::kill);
  }
}
