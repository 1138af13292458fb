package org.galenapost.daemon.gateway;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.lifecycle.DaemonPhase;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.DrainSequence;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.peer.PeerAddress;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceGroup;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.SocketAddressSetting;

/** A composed gateway. */
public final class GatewayDaemon implements Service {

  private final ServiceGroup services;
  private final DaemonState state;
  private final DrainSequence drain;
  private final HttpListener caller;
  private final HttpListener readiness;
  private final HttpListener operator;
  private final Supplier<PeerAddress> peerAddress;
  private final Consumer<List<SocketAddressSetting>> seeds;

  GatewayDaemon(
      List<Service> services,
      DaemonState state,
      DrainSequence drain,
      HttpListener caller,
      HttpListener readiness,
      HttpListener operator,
      Supplier<PeerAddress> peerAddress,
      Consumer<List<SocketAddressSetting>> seeds) {
    this.services = new ServiceGroup("gateway", services, EventLog.of(GatewayDaemon.class));
    this.state = state;
    this.drain = drain;
    this.caller = caller;
    this.readiness = readiness;
    this.operator = operator;
    this.peerAddress = peerAddress;
    this.seeds = seeds;
  }

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public void start() {
    services.start();
    state.enter(DaemonPhase.SERVING);
  }

  /** Takes over what may change while the daemon runs; the rest takes a new start. */
  void reload(GatewaySettings settings) {
    seeds.accept(settings.peer().seeds());
  }

  /** Lets every call in progress finish, within the limit, and stops. */
  public void drainAndStop() {
    drain.run();
    stop();
  }

  @Override
  public void stop() {
    state.enter(DaemonPhase.STOPPED);
    services.stop();
  }

  /** Returns the port of the caller listener. */
  public int callerPort() {
    return caller.port();
  }

  /** Returns the port of the readiness listener. */
  public int readinessPort() {
    return readiness.port();
  }

  /** Returns the port of the operator listener. */
  public int operatorPort() {
    return operator.port();
  }

  /** Returns the port of the listener for other daemons. */
  public int peerPort() {
    return peerAddress.get().port();
  }
}
