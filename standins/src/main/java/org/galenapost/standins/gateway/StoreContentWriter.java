package org.galenapost.standins.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes the objects into the store that operators and backend servers write: a configuration with
 * one stream, one safe and one unsafe route, and the entries of the servers. Not safe for threads.
 */
public final class StoreContentWriter {

  /** The host name of every route. */
  public static final String HOST = "calls.example";

  /** The service with streamed responses. */
  public static final String STREAM_SERVICE = "pool";

  /** The service with responses that are not streamed. */
  public static final String UNARY_SERVICE = "app";

  /** The workspace of every API key. */
  public static final String WORKSPACE = "w1";

  /** The header line that requests a streamed response. */
  public static final String STREAM_HEADER = "X-Token-Counts: 800,100";

  /** The value of the headers in {@link #FORGED_HEADERS}. It must not reach a backend server. */
  public static final String FORGED_VALUE = "forged";

  /** Forged header lines; only the gateway may set these headers. */
  public static final List<String> FORGED_HEADERS =
      List.of("X-Hold: forged", "X-Pin-Ms: forged", "Kv-From: forged", "X-Tenant: forged");

  /** The timeout of every route, unless another one is set. */
  public static final int ROUTE_TIMEOUT_MS = 3_000;

  private static final int SLOTS = 6;
  private static final long STARTED_AT_MS = 1_000;

  private final StoreStandin store;
  private final Map<String, Long> limits =
      new HashMap<>(
          Map.of(
              "max_header_bytes", 4_096L,
              "max_body_bytes", 100_000L,
              "header_timeout_ms", 500L,
              "idle_timeout_ms", 1_500L));
  private long routeTimeoutMs = ROUTE_TIMEOUT_MS;
  private long latencyTargetMs = 800;
  private Map<String, Object> config = Map.of();
  private long configVersion;
  private long writeCount;

  /** Creates a writer for the given store. */
  public StoreContentWriter(StoreStandin store) {
    this.store = store;
  }

  /** Limits the size of request bodies, starting with the next configuration written. */
  public void setMaxBodyBytes(long bytes) {
    limits.put("max_body_bytes", bytes);
  }

  /** Sets a limit for callers by its name, starting with the next configuration written. */
  public void setLimit(String name, long value) {
    limits.put(name, value);
  }

  /** Sets the latency target of all routes, starting with the next configuration written. */
  public void setLatencyTargetMs(long targetMs) {
    latencyTargetMs = targetMs;
  }

  /** Sets the timeout of all routes, starting with the next configuration written. */
  public void setRouteTimeoutMs(long timeoutMs) {
    routeTimeoutMs = timeoutMs;
  }

  /**
   * Writes the entry of a backend server.
   *
   * @param id the instance id
   * @param address the address as an IP literal and a port
   * @param service the name of the service
   * @param dataCentre the data centre of the server
   * @param state the lifecycle state, such as {@code draining}
   * @param softwareVersion the version of the server's software
   */
  public void registerServer(
      String id,
      String address,
      String service,
      String dataCentre,
      String state,
      String softwareVersion) {
    store.write(
        "servers",
        id,
        Map.of(
            "service", service,
            "address", address,
            "zone", dataCentre,
            "version", softwareVersion,
            "slots", SLOTS,
            "state", state,
            "born", STARTED_AT_MS,
            "seq", ++writeCount));
  }

  /** Removes the entry of a backend server. */
  public void deregisterServer(String id) {
    store.remove("servers", id);
  }

  /** Writes a configuration that accepts the given API keys of the workspace. */
  public void writeConfig(String... keys) {
    configVersion += 3;
    config =
        Map.of(
            "version", configVersion,
            "routes",
                List.of(
                    route("r1", "/gen/", "stream", STREAM_SERVICE, 5, true),
                    route("r2", "/read/", "safe", UNARY_SERVICE, 2, false),
                    route("r3", "/act/", "unsafe", UNARY_SERVICE, 1, false)),
            "services",
                List.of(
                    Map.of(
                        "name",
                        STREAM_SERVICE,
                        "max_conns",
                        100,
                        "engine",
                        Map.of("kv_capacity", 88_000, "backups", true)),
                    Map.of("name", UNARY_SERVICE, "max_conns", 100)),
            "limits", Map.copyOf(limits),
            "tenants",
                List.of(Map.of("name", WORKSPACE, "api_keys", List.of(keys), "priority", 1)));
    writeConfigAgain();
  }

  /** Writes the latest configuration again, as operators do after the store was restored. */
  public void writeConfigAgain() {
    store.write("config", "main", config);
  }

  private Map<String, Object> route(
      String name, String prefix, String kind, String service, int attempts, boolean canResume) {
    return Map.of(
        "name", name,
        "host", HOST,
        "path_prefix", prefix,
        "kind", kind,
        "timeout_ms", routeTimeoutMs,
        "latency_target_ms", latencyTargetMs,
        "service", service,
        "max_attempts", attempts,
        "can_resume", canResume,
        "gap_target_ms", 700);
  }

  /**
   * Returns an HTTP/1.1 request with the headers that every caller sends.
   *
   * @param method the HTTP method
   * @param target the path with the query string
   * @param id the id of the call
   * @param key the caller's API key
   * @param deadlineMs the caller's deadline, in milliseconds from now
   * @param body the body, or an empty string for none
   * @param headers further header lines
   */
  public static String request(
      String method,
      String target,
      String id,
      String key,
      long deadlineMs,
      String body,
      String... headers) {
    StringBuilder request = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    request.append("Host: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\n");
    request.append("X-Deadline-Ms: " + deadlineMs + "\r\nX-Credential: " + key + "\r\n");
    for (String header : headers) {
      request.append(header).append("\r\n");
    }
    if (!body.isEmpty()) {
      request.append("Content-Length: " + body.length() + "\r\n");
    }
    return request.append("\r\n").append(body).toString();
  }
}
