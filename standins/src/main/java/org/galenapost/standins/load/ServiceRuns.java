package org.galenapost.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.galenapost.standins.json.Json;

/**
 * The number of action runs counted by the plain services.
 *
 * @param runsByKey the number of runs by idempotency key, summed over all readable services
 * @param unreadServices the number of services whose counters could not be read
 */
record ServiceRuns(Map<String, Long> runsByKey, int unreadServices) {

  private static final Logger LOG = LogManager.getLogger(ServiceRuns.class);
  private static final ObjectMapper MAPPER = Json.newMapper();
  private static final TypeReference<Map<String, Long>> RUNS = new TypeReference<>() {};

  /** Reads the run counters of all services. Failures are logged and counted. */
  static ServiceRuns read(LoadClient client, List<String> addresses) {
    Map<String, Long> total = new HashMap<>();
    int unread = 0;
    for (String address : addresses) {
      try {
        String body = client.fetch("http://" + address + "/standin/runs").join().getResponseBody();
        MAPPER.readValue(body, RUNS).forEach((key, count) -> total.merge(key, count, Long::sum));
      } catch (JsonProcessingException | CompletionException e) {
        LOG.warn("event=service-unread address={} cause={}", address, e.getMessage());
        unread++;
      }
    }
    return new ServiceRuns(total, unread);
  }
}
