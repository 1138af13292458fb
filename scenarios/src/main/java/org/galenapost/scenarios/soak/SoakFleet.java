package org.galenapost.scenarios.soak;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenapost.standins.gateway.ServerAnswer;
import org.galenapost.standins.gateway.ServerStandin;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.galenapost.standins.gateway.StoreEndpoint;
import org.galenapost.standins.gateway.StoreStandin;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.link.LinkStandin;

/** The store, servers and daemons of one soak, connected through links that can be impaired. */
final class SoakFleet implements AutoCloseable {

  static final int SERVERS_PER_SERVICE = 4;

  private static final List<String> DATA_CENTRES = List.of("z1", "z2", "z3");
  private static final List<String> SOFTWARE_VERSIONS = List.of("v1", "v1.1");

  private final StoreStandin store = new StoreStandin();
  private final StoreContentWriter content = new StoreContentWriter(store);
  private final List<StoreEndpoint> storeEndpoints = new ArrayList<>();
  private final List<LinkStandin> storeLinks = new ArrayList<>();
  private final List<LinkStandin> callerLinks = new ArrayList<>();
  private final List<SoakDaemon> daemons = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final Thread shutdownHook = new Thread(this::stopDaemons, "end-daemons");

  /** Starts the store, the servers and all links, but not the daemons. */
  SoakFleet(Path folder, int daemonCount) {
    this(folder, daemonCount, ProcessOptions.NONE);
  }

  /** Starts the store, the servers and all links; the daemons run with further options. */
  SoakFleet(Path folder, int daemonCount, ProcessOptions options) {
    store.start();
    for (String service :
        List.of(StoreContentWriter.STREAM_SERVICE, StoreContentWriter.UNARY_SERVICE)) {
      Set<String> kvBackupIds = ConcurrentHashMap.newKeySet();
      for (int i = 0; i < SERVERS_PER_SERVICE; i++) {
        servers.add(
            new SoakServer(
                service + i, service, dataCentre(i), softwareVersion(i), content, kvBackupIds));
      }
    }
    List<SoakDaemon.Ports> ports =
        Stream.generate(SoakDaemon.Ports::free).limit(daemonCount).toList();
    for (int i = 0; i < daemonCount; i++) {
      StoreEndpoint storeEndpoint = store.openEndpoint();
      storeEndpoints.add(storeEndpoint);
      LinkStandin storeLink = link(storeLinks, storeEndpoint.port());
      daemons.add(
          new SoakDaemon(
              "d" + i, dataCentre(i), folder, ports.get(i), ports, storeLink.port(), options));
      link(callerLinks, ports.get(i).caller());
    }
  }

  private static String dataCentre(int index) {
    return DATA_CENTRES.get(index % DATA_CENTRES.size());
  }

  private static String softwareVersion(int index) {
    return SOFTWARE_VERSIONS.get(index % SOFTWARE_VERSIONS.size());
  }

  private static LinkStandin link(List<LinkStandin> links, int targetPort) {
    LinkStandin link =
        new LinkStandin(0, 0, new InetSocketAddress(HttpServer.LOOPBACK_IP, targetPort));
    link.start();
    links.add(link);
    return link;
  }

  /** Starts the daemons and waits until all are ready. */
  void startDaemons() {
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    daemons.forEach(SoakDaemon::start);
    for (SoakDaemon daemon : daemons) {
      if (!daemon.awaitReady()) {
        throw new IllegalStateException(
            daemon + " was not ready within the timeout after the first start");
      }
    }
  }

  private void stopDaemons() {
    daemons.forEach(SoakDaemon::stop);
  }

  StoreStandin store() {
    return store;
  }

  /** Returns the writer of the store's objects, which the caller must not use concurrently. */
  StoreContentWriter content() {
    return content;
  }

  synchronized void writeConfig(String... keys) {
    content.writeConfig(keys);
  }

  /** Writes again what the operator and the servers had written. */
  synchronized void writeContentAgain() {
    content.writeConfigAgain();
    servers.forEach(SoakServer::announceAgain);
  }

  List<SoakDaemon> daemons() {
    return List.copyOf(daemons);
  }

  List<SoakServer> servers() {
    return List.copyOf(servers);
  }

  /** Returns the runs of each server instance so far, by instance id. */
  Map<String, List<ServerStandin.Run>> runs() {
    return servers.stream()
        .flatMap(server -> server.instances().stream())
        .collect(Collectors.toMap(ServerStandin::instanceId, ServerStandin::runs));
  }

  /** Returns the sealed answers of all server instances so far. */
  List<ServerAnswer> answers() {
    return servers.stream()
        .flatMap(server -> server.instances().stream())
        .flatMap(instance -> instance.answers().stream())
        .toList();
  }

  StoreEndpoint storeEndpoint(int daemon) {
    return storeEndpoints.get(daemon);
  }

  LinkStandin storeLink(int daemon) {
    return storeLinks.get(daemon);
  }

  LinkStandin callerLink(int daemon) {
    return callerLinks.get(daemon);
  }

  /** Returns the port for callers of each daemon, by the daemon's index. */
  List<Integer> callerPorts() {
    return IntStream.range(0, daemons.size()).mapToObj(i -> callerLinks.get(i).port()).toList();
  }

  @Override
  public void close() {
    stopDaemons();
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    callerLinks.forEach(LinkStandin::stop);
    storeLinks.forEach(LinkStandin::stop);
    servers.forEach(SoakServer::stop);
    store.stop();
  }
}
