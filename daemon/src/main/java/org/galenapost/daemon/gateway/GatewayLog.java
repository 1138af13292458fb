package org.galenapost.daemon.gateway;

import java.util.Optional;
import org.galenapost.core.cell.FleetCells;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.StartCheck;
import org.galenapost.core.dispatch.BrittleServers;
import org.galenapost.core.dispatch.ServerLimits;
import org.galenapost.core.instance.InstanceChange;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.quarantine.PromptPartQuarantine;
import org.galenapost.core.route.RouteTable;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.log.LogEvent;
import org.galenapost.daemon.settings.GatewaySettings;

/** Logs start and stop of the gateway and changes of its configuration, store and servers. */
final class GatewayLog {

  private static final EventLog LOG = EventLog.of(GatewayLog.class);

  private GatewayLog() {}

  static void started(GatewaySettings settings, GatewayDaemon daemon) {
    LOG.info("started")
        .with("daemon", settings.daemon().id())
        .with("data_centre", settings.daemon().dataCentre())
        .with("caller_port", daemon.callerPort())
        .with("peer_port", daemon.peerPort())
        .write();
  }

  static void shutdownRequested() {
    LOG.info("shutdown_requested").write();
  }

  static void stopped() {
    LOG.info("stopped").write();
  }

  static void cellChanged(FleetCells cells) {
    LOG.info("cell_changed")
        .with("cell", cells.ownCell())
        .with("cells", cells.cellCount())
        .with("peers", cells.peerCount())
        .write();
  }

  static void watchAssignmentChanged(boolean mustWatch) {
    LOG.info(mustWatch ? "server_watch_taken_up" : "server_watch_left_to_others").write();
  }

  static void storeReachabilityChanged(boolean isReachable) {
    if (isReachable) {
      LOG.info("dependency_regained").with("dependency", "platform-store").write();
    } else {
      LOG.warn("dependency_lost").with("dependency", "platform-store").write();
    }
  }

  static void routesChanged(Optional<RouteTable> previous, RouteTable current) {
    LOG.info("configuration_in_force")
        .with("version", current.version())
        .with("version_before", previous.map(RouteTable::version).orElse(0L))
        .write();
  }

  /** Logs whether the peers confirmed the configuration with which this daemon starts. */
  static void configurationCompared(StartCheck.Outcome outcome) {
    LogEvent event =
        outcome.isConfirmed()
            ? LOG.info("configuration_confirmed_by_peers")
            : LOG.warn("configuration_not_confirmed_by_peers");
    event.with("answers", outcome.answers()).write();
  }

  static void configurationFaulty(ConfigurationRecord record, String fault) {
    LOG.warn("configuration_faulty")
        .with("name", record.name())
        .with("revision", record.version())
        .with("fault", fault)
        .write();
  }

  /** Returns a listener that logs the parts of prompts that are refused. */
  static PromptPartQuarantine.Listener promptParts() {
    return new PromptPartQuarantine.Listener() {
      @Override
      public void onRefused(String partId, int lostServers) {
        LOG.warn("prompt_part_refused")
            .with("part", partId)
            .with("lost_servers", lostServers)
            .write();
      }

      @Override
      public void onCleared(String partId) {
        LOG.info("prompt_part_cleared").with("part", partId).write();
      }
    };
  }

  /** Returns a listener that logs the limits that servers name. */
  static ServerLimits.Listener serverLimits() {
    return new ServerLimits.Listener() {
      @Override
      public void onNamed(InstanceKey server, double requestsPerS) {
        LOG.warn("server_limit_named")
            .with("server", server.text())
            .with("limit_per_s", requestsPerS)
            .write();
      }

      @Override
      public void onEnded(InstanceKey server) {
        LOG.info("server_limit_ended").with("server", server.text()).write();
      }
    };
  }

  /** Returns a listener that logs the servers that fall over if they refuse many calls. */
  static BrittleServers.Listener brittleServers() {
    return new BrittleServers.Listener() {
      @Override
      public void onNamed(InstanceKey server, double refusalsPerS) {
        LOG.warn("server_brittle")
            .with("server", server.text())
            .with("refusals_per_s", refusalsPerS)
            .write();
      }

      @Override
      public void onEnded(InstanceKey server) {
        LOG.info("server_not_brittle").with("server", server.text()).write();
      }
    };
  }

  /** Logs whether this daemon reaches the servers of a service. */
  static void serverReachChanged(String service, boolean isReached) {
    if (isReached) {
      LOG.info("dependency_regained")
          .with("dependency", "servers")
          .with("service", service)
          .write();
    } else {
      LOG.warn("dependency_lost").with("dependency", "servers").with("service", service).write();
    }
  }

  static void instanceChanged(InstanceChange change) {
    LOG.info("server_" + change.kind().logName())
        .with("server", change.instance().key().text())
        .with("service", change.instance().service())
        .with("address", change.instance().address())
        .with("data_centre", change.instance().dataCentre())
        .write();
  }
}
