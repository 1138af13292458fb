package org.galenapost.daemon.wiring;

import java.util.function.IntSupplier;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.lifecycle.DaemonPhase;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.DrainSequence;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceGroup;

/** A daemon: its listeners, its other services and its drain sequence. */
public final class Daemon implements Service {

  private final ServiceGroup services;
  private final DaemonState state;
  private final DrainSequence drainSequence;
  private final HttpListener callerListener;
  private final HttpListener operatorListener;
  private final IntSupplier peerPort;

  Daemon(
      ServiceGroup services,
      DaemonState state,
      DrainSequence drainSequence,
      HttpListener callerListener,
      HttpListener operatorListener,
      IntSupplier peerPort) {
    this.services = services;
    this.state = state;
    this.drainSequence = drainSequence;
    this.callerListener = callerListener;
    this.operatorListener = operatorListener;
    this.peerPort = peerPort;
  }

  @Override
  public String name() {
    return "daemon";
  }

  @Override
  public void start() {
    services.start();
    state.enter(DaemonPhase.SERVING);
  }

  /** Waits for the requests in progress, for at most the drain limit, and then stops. */
  public void drainAndStop() {
    drainSequence.run();
    stop();
  }

  /** Stops immediately and aborts the requests in progress. */
  @Override
  public void stop() {
    state.enter(DaemonPhase.STOPPED);
    services.stop();
  }

  /** Returns the port of the caller listener. */
  public int callerPort() {
    return callerListener.port();
  }

  /** Returns the port of the operator listener. */
  public int operatorPort() {
    return operatorListener.port();
  }

  /** Returns the port of the peer listener. */
  public int peerPort() {
    return peerPort.getAsInt();
  }
}
