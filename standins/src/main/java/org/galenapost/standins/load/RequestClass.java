package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One class of requests in a workload.
 *
 * @param name the name in the report
 * @param kind the kind of request
 * @param ratePerSecond the mean arrival rate in requests per second
 * @param workspace the name of the workspace in the report
 * @param workspaceKey the API key of the workspace, sent as a bearer token
 * @param profile the requested profile
 * @param model the model of a generation
 * @param version the model version that determines the expected answer
 * @param adapter the adapter of a generation, or null
 * @param prefixes the number of shared prompt prefixes; 0 disables them
 * @param prefixCharacters the minimum length of a shared prefix in characters
 * @param promptCharacters the minimum length of the unique part of a prompt in characters
 * @param maxTokens the maximum number of tokens of a generation
 * @param deadlineMs the latency in milliseconds above which an answer is late; 0 means no deadline
 * @param service the name of the plain service of a lookup or action
 * @param path the path below the service of a lookup or action
 * @param sends how many times an action is sent with the same key
 */
public record RequestClass(
    String name,
    RequestKind kind,
    double ratePerSecond,
    String workspace,
    String workspaceKey,
    String profile,
    String model,
    String version,
    String adapter,
    int prefixes,
    int prefixCharacters,
    int promptCharacters,
    int maxTokens,
    long deadlineMs,
    String service,
    String path,
    int sends) {

  /** Replaces absent values by their defaults. */
  public RequestClass {
    kind = kind == null ? RequestKind.GENERATION : kind;
    workspace = workspace == null ? "default" : workspace;
    profile = profile == null ? "default" : profile;
    model = model == null ? "m1" : model;
    version = version == null ? "v1" : version;
    path = path == null ? "" : path;
    sends = Math.max(1, sends);
  }

  /** Returns the adapter, if any. */
  public Optional<String> adapterName() {
    return Optional.ofNullable(adapter);
  }

  /** Returns a copy with another arrival rate. */
  public RequestClass withRate(double newRatePerSecond) {
    return new RequestClass(
        name,
        kind,
        newRatePerSecond,
        workspace,
        workspaceKey,
        profile,
        model,
        version,
        adapter,
        prefixes,
        prefixCharacters,
        promptCharacters,
        maxTokens,
        deadlineMs,
        service,
        path,
        sends);
  }

  /** Returns one message per invalid value. */
  List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    if (name == null || name.isBlank()) {
      errors.add("classes: expected a name");
    }
    if (ratePerSecond <= 0) {
      errors.add("classes." + name + ".rate_per_second: expected more than 0");
    }
    if (workspaceKey == null) {
      errors.add("classes." + name + ".workspace_key: expected a key");
    }
    if (kind == RequestKind.GENERATION && maxTokens <= 0) {
      errors.add("classes." + name + ".max_tokens: expected more than 0");
    }
    if (kind != RequestKind.GENERATION && service == null) {
      errors.add("classes." + name + ".service: expected a service");
    }
    return errors;
  }
}
