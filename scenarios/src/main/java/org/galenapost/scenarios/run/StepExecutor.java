package org.galenapost.scenarios.run;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CallerClient;
import org.galenapost.scenarios.client.CompletionCall;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.CommandResult;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.Step;
import org.galenapost.scenarios.process.ManagedProcess;

/** Executes the steps of one scenario against a running fleet. */
final class StepExecutor {

  private static final long DEFAULT_SEED = 7;
  private static final int OK = 200;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final RunningFleet fleet;
  private final CallerClient caller;
  private final RequestLog requests = new RequestLog();
  private final ControlClient control = new ControlClient();
  private final ExpectationChecker checker;

  StepExecutor(RunningFleet fleet, CallerClient caller) {
    this.fleet = fleet;
    this.caller = caller;
    this.checker = new ExpectationChecker(fleet, requests, control);
  }

  void execute(int stepNumber, Step step) {
    if (step instanceof Step.Expect expect) {
      expect(stepNumber, expect);
    } else if (step instanceof Step.Send send) {
      send(send);
    } else if (step instanceof Step.Call call) {
      call(call);
    } else if (step instanceof Step.Await await) {
      await(await);
    } else if (step instanceof Step.Pause pause) {
      ManagedProcess.pause(Duration.ofMillis(pause.ms()));
    } else if (step instanceof Step.Apply apply) {
      apply(apply);
    } else if (step instanceof Step.CommandLine commandLine) {
      runCommandLine(commandLine);
    } else {
      injectFault(step);
    }
  }

  private void injectFault(Step step) {
    if (step instanceof Step.Start start) {
      fleet.start(start.process());
    } else if (step instanceof Step.Stop stop) {
      fleet.process(stop.process()).terminate();
    } else if (step instanceof Step.Kill kill) {
      fleet.process(kill.process()).kill();
    } else if (step instanceof Step.Freeze freeze) {
      fleet.process(freeze.process()).freeze();
    } else if (step instanceof Step.Thaw thaw) {
      fleet.process(thaw.process()).thaw();
    } else if (step instanceof Step.Cut cut) {
      String body = "{\"mode\":\"%s\"}".formatted(cut.mode().orElse("both"));
      setSwitch(fleet.linkUrl(cut.link()), "cut", body);
    } else if (step instanceof Step.Heal heal) {
      setSwitch(fleet.linkUrl(heal.link()), "heal", "{}");
    } else {
      injectStandinFault(step);
    }
  }

  private void injectStandinFault(Step step) {
    if (step instanceof Step.Outage outage) {
      String body =
          "{\"enabled\":%s,\"mode\":\"%s\"}".formatted(outage.on(), outage.mode().orElse("refuse"));
      setSwitch(fleet.standinUrl("platform"), "outage", body);
    } else if (step instanceof Step.LoseAnswer lose) {
      String kind = lose.kind().map(name -> ",\"kind\":\"" + name + "\"").orElse("");
      String body = "{\"count\":%d%s}".formatted(lose.count(), kind);
      setSwitch(fleet.standinUrl("platform"), "lose-answers", body);
    } else if (step instanceof Step.Switch change) {
      String body = change.body().map(Object::toString).orElse("{}");
      setSwitch(fleet.standinUrl(change.process()), change.name(), body);
    } else if (step instanceof Step.Hosts hosts) {
      fleet.setHostState(hosts.process(), hosts.state());
    }
  }

  private void setSwitch(String baseUrl, String name, String body) {
    String url = baseUrl + "/standin/" + name;
    ControlClient.Reply reply = control.send("POST", url, Optional.empty(), body);
    boolean exitsWithoutReply = name.equals("die");
    if (reply.status() / 100 != 2 && !exitsWithoutReply) {
      throw ScenarioFailure.unexpectedReply("switch " + name, OK, reply.status(), reply.body());
    }
  }

  private void send(Step.Send send) {
    int count = send.count().orElse(1);
    for (int i = 0; i < count; i++) {
      String name = send.count().isPresent() ? send.request() + "-" + i : send.request();
      CompletionCall call = completionCall(send, i);
      requests.add(name, new RequestLog.SentCompletion(call, caller.sendCompletion(name, call)));
    }
  }

  private CompletionCall completionCall(Step.Send send, int index) {
    String prompt = send.count().isPresent() ? send.prompt() + " " + index : send.prompt();
    return new CompletionCall(
        send.to().stream().map(fleet::callerAddress).toList(),
        fleet.workspaceKey(send.workspace()),
        send.profile(),
        send.key(),
        send.model(),
        prompt,
        send.seed().orElse(DEFAULT_SEED) + index,
        send.maxTokens(),
        send.reconnect().orElse(false));
  }

  private void call(Step.Call call) {
    int count = call.count().orElse(1);
    for (int i = 0; i < count; i++) {
      String suffix = call.count().isPresent() ? "-" + i : "";
      String name = call.request() + suffix;
      Optional<String> key = call.key().map(value -> value.replace("{n}", suffix));
      Answer answer =
          caller.callService(
              name,
              fleet.callerAddress(call.to()),
              fleet.workspaceKey(Optional.empty()),
              call.service(),
              call.body(),
              key,
              call.profile());
      requests.add(name, new RequestLog.SentCall(call.service(), key.orElse(""), answer));
    }
  }

  private void await(Step.Await await) {
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(await.withinMs()).toNanos();
    while (!isSatisfied(await)) {
      if (System.nanoTime() > deadlineNanos) {
        throw ScenarioFailure.waitTimedOut(describe(await.request()), await.withinMs());
      }
      ManagedProcess.pause(POLL_INTERVAL);
    }
  }

  private boolean isSatisfied(Step.Await await) {
    List<Answer> answers = requests.answers(await.request());
    return await
        .tokens()
        .map(tokens -> answers.stream().allMatch(answer -> answer.tokens().size() >= tokens))
        .orElseGet(() -> answers.stream().allMatch(Answer::isEnded));
  }

  private String describe(String request) {
    return requests.answers(request).stream().map(Answer::describe).toList().toString();
  }

  private void apply(Step.Apply apply) {
    String path = "/v1/config/" + apply.kind() + "/" + apply.name();
    String url = fleet.operatorUrl(apply.daemon()) + path;
    Optional<String> token = Optional.of(fleet.operatorToken());
    long version = apply.expectedVersion().orElseGet(() -> currentVersion(url, token));
    String target = url + "?expected_version=" + version;
    ControlClient.Reply reply = control.send("PUT", target, token, apply.value().toString());
    int expected = apply.expectedStatus().orElse(OK);
    boolean hasExpectedBody = apply.answerContains().map(reply.body()::contains).orElse(true);
    if (reply.status() != expected || !hasExpectedBody) {
      throw ScenarioFailure.unexpectedReply(
          "apply " + path, expected, reply.status(), reply.body());
    }
  }

  private long currentVersion(String url, Optional<String> token) {
    ControlClient.Reply current = control.send("GET", url, token, "");
    return current.status() == OK ? current.json().path("version").asLong() : 0;
  }

  private void runCommandLine(Step.CommandLine step) {
    CommandResult result = fleet.runCommandLine(step.daemon(), step.arguments());
    if (result.exitCode() != step.exitCode()) {
      throw ScenarioFailure.unexpectedExit(step.exitCode(), result.exitCode(), result.output());
    }
    for (String expected : step.outputContains().orElse(List.of())) {
      if (!result.output().contains(expected)) {
        throw ScenarioFailure.missingOutput(expected, result.output());
      }
    }
  }

  private void expect(int stepNumber, Step.Expect expect) {
    long deadlineNanos =
        System.nanoTime() + Duration.ofMillis(expect.withinMs().orElse(0L)).toNanos();
    Optional<String> fault = checker.check(expect.that());
    while (fault.isPresent() && System.nanoTime() < deadlineNanos) {
      ManagedProcess.pause(POLL_INTERVAL);
      fault = checker.check(expect.that());
    }
    if (fault.isPresent()) {
      throw ScenarioFailure.expectationNotMet(fault.get(), stepNumber);
    }
  }
}
