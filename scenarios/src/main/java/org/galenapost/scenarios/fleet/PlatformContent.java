package org.galenapost.scenarios.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.configuration.KeyDigest;
import org.galenapost.core.json.Json;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.language.FleetSpec;

/** Writes the configuration objects and the host list of a scenario to the platform stand-in. */
final class PlatformContent {

  private static final long DEFAULT_DEADLINE_MS = 60_000;
  private static final int DEFAULT_WEIGHT = 1;
  private static final int DEFAULT_MAX_IN_FLIGHT = 1_000;
  private static final long MODEL_SIZE_BYTES = 1_000_000;
  private static final int OK = 200;

  private final String platformUrl;
  private final ControlClient control = new ControlClient();
  private final ObjectMapper mapper = Json.newMapper();
  private final Map<String, ObjectNode> hostsById = new LinkedHashMap<>();
  private long hostListRevision;

  PlatformContent(String platformUrl) {
    this.platformUrl = platformUrl;
  }

  void writeProfiles(List<FleetSpec.ProfileSpec> profiles) {
    FleetSpec.ProfileSpec defaultProfile =
        new FleetSpec.ProfileSpec(
            "default",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    write("profile", defaultProfile.name(), toProfile(defaultProfile));
    profiles.forEach(spec -> write("profile", spec.name(), toProfile(spec)));
  }

  private ObjectNode toProfile(FleetSpec.ProfileSpec spec) {
    ObjectNode value = mapper.createObjectNode();
    value.put("urgency", spec.urgency().orElse("normal"));
    value.put("idempotent", spec.idempotent().orElse(true));
    value.put("deadline_ms", spec.deadlineMs().orElse(DEFAULT_DEADLINE_MS));
    value.put("recovery", spec.recovery().orElse("hedge"));
    value.put("rerun", spec.rerun().orElse("error"));
    return value;
  }

  void writeWorkspace(FleetSpec.WorkspaceSpec spec) {
    ObjectNode value = mapper.createObjectNode();
    value.putArray("key_sha256_hex").add(KeyDigest.sha256Hex(spec.key()));
    value.put("weight", spec.weight().orElse(DEFAULT_WEIGHT));
    value.put("max_in_flight", spec.maxInFlight().orElse(DEFAULT_MAX_IN_FLIGHT));
    write("workspace", spec.name(), value);
  }

  void writeEngine(FleetSpec.EngineSpec engine, int port, String dataCentre) {
    ObjectNode value = toServer("engine", port, dataCentre, engine.checksFencing().orElse(true));
    ArrayNode models = value.putArray("models");
    engine.models().forEach(models::add);
    write("server", engine.id(), value);
  }

  void writeService(FleetSpec.ServiceSpec service, int port, String dataCentre) {
    ObjectNode value = toServer("service", port, dataCentre, false);
    value.putArray("models");
    value.put("service", service.service());
    write("server", service.id(), value);
  }

  private ObjectNode toServer(String kind, int port, String dataCentre, boolean checksFencing) {
    ObjectNode value = mapper.createObjectNode();
    value.put("ip", RunningFleet.LOOPBACK);
    value.put("port", port);
    value.put("kind", kind);
    value.put("data_centre", dataCentre);
    value.put("state", "live");
    value.put("checks_fencing", checksFencing);
    return value;
  }

  void writeModels(Set<String> models) {
    models.forEach(this::writeModel);
  }

  private void writeModel(String model) {
    ObjectNode value = mapper.createObjectNode();
    value.put("version", "v1");
    value.put("size_bytes", MODEL_SIZE_BYTES);
    write("model", model, value);
  }

  private void write(String kind, String name, ObjectNode value) {
    String url = platformUrl + "/v1/objects/" + kind + "/" + name;
    ControlClient.Reply reply = control.putIfAbsent(url, value.toString());
    if (reply.status() != OK) {
      throw new IllegalStateException("platform rejected PUT " + url + ": " + reply);
    }
  }

  /** Adds a host to the host list, or replaces its entry, and publishes the list. */
  void putHost(String id, String role, int port, String dataCentre, String state) {
    ObjectNode host = mapper.createObjectNode();
    host.put("ip", RunningFleet.LOOPBACK);
    host.put("port", port);
    host.put("role", role);
    host.put("id", id);
    host.put("data_centre", dataCentre);
    host.put("state", state);
    hostsById.put(id, host);
    publishHostList();
  }

  /** Sets the state of a listed host and publishes the list. */
  void setHostState(String id, String state) {
    hostsById.get(id).put("state", state);
    publishHostList();
  }

  private void publishHostList() {
    hostListRevision++;
    ObjectNode list = mapper.createObjectNode();
    list.put("revision", hostListRevision);
    ArrayNode hosts = list.putArray("hosts");
    hostsById.values().forEach(hosts::add);
    control.send("PUT", platformUrl + "/standin/hosts", Optional.empty(), list.toString());
  }
}
