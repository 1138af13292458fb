package org.galenapost.scenarios.run;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CompletionCall;

/** Stores each request sent and its answer by request name. */
final class RequestLog {

  /**
   * A completion and its answer.
   *
   * @param call the completion request
   * @param answer the answer, filled while it arrives
   */
  record SentCompletion(CompletionCall call, Answer answer) {}

  /**
   * A service call and its answer.
   *
   * @param service the name of the service
   * @param key the idempotency key, empty if none was sent
   * @param answer the answer, filled while it arrives
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

  /**
   * Returns the completions whose request name is {@code name} or {@code name-N}.
   *
   * @throws ScenarioFailure if there is none
   */
  List<SentCompletion> completions(String name) {
    List<SentCompletion> found = findByName(completions, name);
    if (found.isEmpty()) {
      throw ScenarioFailure.unknownName("completion", name);
    }
    return found;
  }

  /**
   * Returns the answers to the completions and service calls whose request name is {@code name} or
   * {@code name-N}.
   *
   * @throws ScenarioFailure if there is none
   */
  List<Answer> answers(String name) {
    List<Answer> answers = new ArrayList<>();
    findByName(completions, name).forEach(completion -> answers.add(completion.answer()));
    findByName(calls, name).forEach(call -> answers.add(call.answer()));
    if (answers.isEmpty()) {
      throw ScenarioFailure.unknownName("request", name);
    }
    return answers;
  }

  /** Returns all calls to a service. */
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
