package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One class of requests in a workload.
 *
 * @param name its name in the report
 * @param kind what its requests ask for
 * @param ratePerSecond the mean rate of arrivals
 * @param workspace the workspace's name in the report
 * @param workspaceKey the workspace's key
 * @param profile the profile that is asked for
 * @param model the model of a generation
 * @param version the model version that the answer is checked against
 * @param adapter the adapter of a generation, or null
 * @param prefixes how many shared prefixes prompts draw from; 0 means that none is shared
 * @param prefixCharacters the length of a shared prefix
 * @param promptCharacters the length of the prompt's own part
 * @param maxTokens the most tokens of a generation
 * @param deadlineMs when an answer comes too late to count; 0 means never
 * @param service the plain service of a lookup or action
 * @param path the path of a lookup or action
 * @param sends how often an action is sent with the same key
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

  /** Fills in what may be absent. */
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

  /** Returns a copy with another rate. */
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

  /** Returns what is wrong with it, one line each. */
  List<String> validationErrors() {
    List<String> faults = new ArrayList<>();
    if (name == null || name.isBlank()) {
      faults.add("classes: expected a name");
    }
    if (ratePerSecond <= 0) {
      faults.add("classes." + name + ".rate_per_second: expected more than 0");
    }
    if (workspaceKey == null) {
      faults.add("classes." + name + ".workspace_key: expected a key");
    }
    if (kind == RequestKind.GENERATION && maxTokens <= 0) {
      faults.add("classes." + name + ".max_tokens: expected more than 0");
    }
    if (kind != RequestKind.GENERATION && service == null) {
      faults.add("classes." + name + ".service: expected a service");
    }
    return faults;
  }
}
