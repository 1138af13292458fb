package org.galenapost.scenarios.soak;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.galenapost.standins.gateway.ServerStandin;
import org.galenapost.standins.gateway.StoreContentWriter;
import org.galenapost.standins.http.HttpServer;
import org.galenapost.standins.link.LinkStandin;

/** A server address behind a link, with the successive instances that run there. */
final class SoakServer {

  private static final Duration EVENT_INTERVAL = Duration.ofMillis(60);
  private static final Duration CALL_DURATION = Duration.ofMillis(25);

  private final String name;
  private final String service;
  private final String dataCentre;
  private final String softwareVersion;
  private final StoreContentWriter content;
  private final Set<String> kvBackupIds;
  private final List<ServerStandin> instances = new CopyOnWriteArrayList<>();
  private final LinkStandin link;
  private volatile String announcedState = "";

  /**
   * Creates the server and starts its first instance.
   *
   * @param name the prefix of the instance ids
   * @param service the service of the server
   * @param dataCentre the data centre of the server
   * @param softwareVersion the version of the server's software
   * @param content writes the server's directory entries to the store
   * @param kvBackupIds the ids of calls whose KV cache was backed up, shared by the servers of a
   *     service
   */
  SoakServer(
      String name,
      String service,
      String dataCentre,
      String softwareVersion,
      StoreContentWriter content,
      Set<String> kvBackupIds) {
    this.name = name;
    this.service = service;
    this.dataCentre = dataCentre;
    this.softwareVersion = softwareVersion;
    this.content = content;
    this.kvBackupIds = kvBackupIds;
    ServerStandin first = startInstance();
    this.link = new LinkStandin(0, 0, addressOf(first));
    link.start();
    announce("ready");
  }

  private ServerStandin startInstance() {
    ServerStandin instance = new ServerStandin(name + "-" + instances.size(), 0, kvBackupIds);
    instance.setSoftwareVersion(softwareVersion);
    instance.setEventInterval(EVENT_INTERVAL);
    instance.setProcessingTime(CALL_DURATION);
    instance.start();
    instances.add(instance);
    return instance;
  }

  private static InetSocketAddress addressOf(ServerStandin instance) {
    return new InetSocketAddress(HttpServer.LOOPBACK_IP, instance.port());
  }

  LinkStandin link() {
    return link;
  }

  ServerStandin currentInstance() {
    return instances.get(instances.size() - 1);
  }

  List<ServerStandin> instances() {
    return List.copyOf(instances);
  }

  void announce(String state) {
    announcedState = state;
    String address = HttpServer.LOOPBACK_IP + ":" + link.port();
    ServerStandin instance = currentInstance();
    content.registerServer(
        instance.instanceId(), address, service, dataCentre, state, instance.softwareVersion());
  }

  /** Writes the latest entry again, and removes those of earlier instances. */
  void announceAgain() {
    String currentId = currentInstance().instanceId();
    instances.stream()
        .map(ServerStandin::instanceId)
        .filter(id -> !id.equals(currentId))
        .forEach(content::deregisterServer);
    announce(announcedState);
  }

  /** Crashes the current instance. Its directory entry remains until {@link #replace}. */
  void crash() {
    currentInstance().crash();
  }

  /** Starts a new instance at the same address and removes the entry of the previous one. */
  void replace() {
    String replacedId = currentInstance().instanceId();
    link.setTarget(addressOf(startInstance()));
    content.deregisterServer(replacedId);
    announce("ready");
  }

  void stop() {
    link.stop();
    instances.forEach(ServerStandin::stop);
  }

  @Override
  public String toString() {
    return name;
  }
}
