package org.galenapost.scenarios.run;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CompletionCall;

/** Remembers each request sent and its answer, by name. */
final class RequestLog {

  /** A completion with its answer. */
  record SentCompletion(CompletionCall call, Answer answer) {}

  /**
   * A service call with its answer.
   *
   * @param service the service
   * @param key the idempotency key, empty if none was sent
   */
  record SentCall(String service, String key, Answer answer) {}

  private final Map<String, SentCompletion> completions = new LinkedHashMap<>();
  private final Map<String, SentCall> calls = new LinkedHashMap<>();

  void add(String name, SentCompletion completion) {
    completions.put(name, completion);
  }

  void add(String name, SentCall call) {
    calls.put(name, call);
  }

  /** Returns the completions of a name: the one called so, or all called {@code name-N}. */
  List<SentCompletion> completions(String name) {
    List<SentCompletion> found = findByName(completions, name);
    if (found.isEmpty()) {
      throw ScenarioFailure.unknownName("completion", name);
    }
    return found;
  }

  /** Returns the answers of a name, of completions and calls alike. */
  List<Answer> answers(String name) {
    List<Answer> answers = new ArrayList<>();
    findByName(completions, name).forEach(completion -> answers.add(completion.answer()));
    findByName(calls, name).forEach(call -> answers.add(call.answer()));
    if (answers.isEmpty()) {
      throw ScenarioFailure.unknownName("request", name);
    }
    return answers;
  }

  /** Returns all calls of a service. */
  List<SentCall> callsToService(String service) {
    return calls.values().stream().filter(call -> call.service().equals(service)).toList();
  }

  private static <T> List<T> findByName(Map<String, T> entries, String name) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getKey().equals(name) || entry.getKey().matches(name + "-\\d+"))
        .map(Map.Entry::getValue)
        .toList();
  }
}
