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

/** A gateway with all of its services. */
public final class GatewayDaemon implements Service {

  private final ServiceGroup services;
  private final DaemonState state;
  private final DrainSequence drain;
  private final HttpListener callerListener;
  private final HttpListener readinessListener;
  private final HttpListener operatorListener;
  private final Supplier<PeerAddress> peerAddress;
  private final Consumer<List<SocketAddressSetting>> seedsUpdater;

  GatewayDaemon(
      List<Service> services,
      DaemonState state,
      DrainSequence drain,
      HttpListener callerListener,
      HttpListener readinessListener,
      HttpListener operatorListener,
      Supplier<PeerAddress> peerAddress,
      Consumer<List<SocketAddressSetting>> seedsUpdater) {
    this.services = new ServiceGroup("gateway", services, EventLog.of(GatewayDaemon.class));
    this.state = state;
    this.drain = drain;
    this.callerListener = callerListener;
    this.readinessListener = readinessListener;
    this.operatorListener = operatorListener;
    this.peerAddress = peerAddress;
    this.seedsUpdater = seedsUpdater;
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

  /** Applies the settings that may change at run time; all others need a restart. */
  void reload(GatewaySettings settings) {
    seedsUpdater.accept(settings.peer().seeds());
  }

  /** Waits for the calls in progress to complete, up to the drain limit, and stops. */
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
    return callerListener.port();
  }

  /** Returns the port of the readiness listener. */
  public int readinessPort() {
    return readinessListener.port();
  }

  /** Returns the port of the operator listener. */
  public int operatorPort() {
    return operatorListener.port();
  }

  /** Returns the port of the peer listener. */
  public int peerPort() {
    return peerAddress.get().port();
  }
}
