package org.galenapost.daemon.wiring;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.daemon.http.HttpListener;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.DrainSequence;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceGroup;
import org.galenapost.daemon.settings.Settings;
import org.galenapost.daemon.settings.TimingSettings;

/** Builds a daemon from its settings. */
public final class DaemonBuilder {

  private DaemonBuilder() {}

  /** Builds a daemon; nothing runs before it is started. */
  public static Daemon build(Settings settings, Mechanisms mechanisms) {
    DaemonContext context = DaemonContext.of(settings);
    AgreementParts agreement = AgreementWiring.create(context, mechanisms);
    LoadParts load = LoadWiring.create(context, mechanisms, agreement);
    GenerationParts generation = GenerationWiring.create(context, mechanisms, agreement, load);
    return assemble(context, mechanisms, agreement, load, generation);
  }

  static Daemon assemble(
      DaemonContext context,
      Mechanisms mechanisms,
      AgreementParts agreement,
      LoadParts load,
      GenerationParts generation) {
    DaemonState state = new DaemonState(load.isReady());
    CallerParts caller = new CallerWiring(context, agreement, load, generation, state).create();
    HttpListener operator = new OperatorWiring(context, agreement, state).create(caller);
    List<Service> services = new ArrayList<>();
    services.add(context.eventLoops());
    services.add(context.clients());
    services.add(operator);
    services.addAll(agreement.services());
    services.addAll(load.services());
    services.addAll(generation.services());
    services.addAll(caller.services());
    ServiceGroup group = new ServiceGroup("daemon", services, EventLog.of(Daemon.class));
    DrainSequence shipped = createDrainSequence(context, state, caller);
    DrainSequence drain = mechanisms.choose(DrainSequence.class, shipped, context);
    return new Daemon(group, state, drain, caller.listener(), operator, agreement.peerPort());
  }

  private static DrainSequence createDrainSequence(DaemonContext context, DaemonState state, CallerParts caller) {
    TimingSettings timings = context.settings().timings();
    return new DrainSequence(
        state,
        timings.drainNotice(),
        timings.drainLimit(),
        caller.listener()::stopAccepting,
        () -> caller.exchanges().whenEmpty().thenCompose(none -> context.pendingWork().whenEmpty()),
        () -> caller.exchanges().count() + context.pendingWork().count());
  }
}
