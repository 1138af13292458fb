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

/** A server's place in the fleet, behind a link, and the instances that ran there in turn. */
final class SoakServer {

  private static final Duration EVENT_PAUSE = Duration.ofMillis(60);
  private static final Duration WORK = Duration.ofMillis(25);

  private final String name;
  private final String service;
  private final String zone;
  private final StoreContentWriter content;
  private final Set<String> copies;
  private final List<ServerStandin> instances = new CopyOnWriteArrayList<>();
  private final LinkStandin link;

  /**
   * Creates a place and starts its first instance.
   *
   * @param name begins the ids of its instances
   * @param service the service that it belongs to
   * @param zone the zone that it stands in
   * @param content takes its entries
   * @param copies the runs whose memory was copied, shared by the servers of a service
   */
  SoakServer(String name, String service, String zone, StoreContentWriter content, Set<String> copies) {
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.content = content;
    this.copies = copies;
    ServerStandin first = startInstance();
    this.link = new LinkStandin(0, 0, addressOf(first));
    link.start();
    announce("ready");
  }

  private ServerStandin startInstance() {
    ServerStandin instance = new ServerStandin(name + "-" + instances.size(), 0, copies);
    instance.setEventInterval(EVENT_PAUSE);
    instance.setProcessingTime(WORK);
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
    String address = HttpServer.LOOPBACK_IP + ":" + link.port();
    content.registerServer(currentInstance().instanceId(), address, service, zone, state);
  }

  /** Ends the current instance, whose entry stays until the next one takes its place. */
  void crash() {
    currentInstance().crash();
  }

  /** Starts another instance at the same address. */
  void replace() {
    String before = currentInstance().instanceId();
    link.setTarget(addressOf(startInstance()));
    content.deregisterServer(before);
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
