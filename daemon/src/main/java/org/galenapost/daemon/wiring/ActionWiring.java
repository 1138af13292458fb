package org.galenapost.daemon.wiring;

import java.util.UUID;
import org.galenapost.core.action.ActionGate;
import org.galenapost.core.action.ClaimGate;
import org.galenapost.core.action.ClaimOptions;
import org.galenapost.core.action.ClaimRouter;
import org.galenapost.core.action.ClaimStore;
import org.galenapost.core.action.OpenClaims;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.daemon.lifecycle.PendingWork;
import org.galenapost.daemon.operator.ActionRoutes;

/** Creates the gate that claims a request that is not idempotent before it is sent. */
final class ActionWiring {

  private ActionWiring() {}

  static ActionGate create(
      DaemonContext context, Mechanisms mechanisms, ObjectStore store, PeerBus bus) {
    String ownId = context.settings().daemon().id();
    ClaimOptions options = mechanisms.choose(ClaimOptions.class, ClaimOptions.DEFAULT, context);
    ClaimStore claims =
        new ClaimStore(
            store,
            context.scheduler(),
            context.clock(),
            context.time(),
            context.random()::nextDouble,
            daemonId -> daemonId.equals(ownId) || bus.livePeerIds().contains(daemonId),
            options);
    PendingWork pending = context.pendingWork();
    ClaimRouter router =
        new ClaimRouter(
            ownId, bus, context.scheduler(), operation -> pending.track(claims.submit(operation)));
    ClaimGate gate =
        new ClaimGate(
            ownId,
            operation -> pending.track(router.submit(operation)),
            context.scheduler(),
            context.clock(),
            context.time(),
            () -> ownId + "-" + UUID.randomUUID());
    ActionRoutes.addTo(context.routes(), new OpenClaims(store, claims::submit));
    return mechanisms.choose(ActionGate.class, gate, context);
  }
}
