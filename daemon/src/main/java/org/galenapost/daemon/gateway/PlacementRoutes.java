package org.galenapost.daemon.gateway;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.galenapost.core.dispatch.CallDemand;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.dispatch.InstanceChooser.Choice;
import org.galenapost.core.dispatch.PlacementCandidate;
import org.galenapost.core.dispatch.PlacementExplainer;
import org.galenapost.core.dispatch.ServerConstraint;
import org.galenapost.core.prompt.PartIds;
import org.galenapost.core.prompt.PromptPart;
import org.galenapost.core.route.TargetService;
import org.galenapost.daemon.gateway.call.CallHead;
import org.galenapost.daemon.gateway.front.RequestValidator;
import org.galenapost.daemon.gateway.run.AcceptedCall;
import org.galenapost.daemon.operator.OperatorHandler;
import org.galenapost.daemon.operator.OperatorRequest;
import org.galenapost.daemon.operator.OperatorResponse;
import org.galenapost.daemon.operator.OperatorRoutes;

/** The route that says where a call would be sent now, and why. It sends and reserves nothing. */
final class PlacementRoutes {

  private static final Pattern PARTS =
      Pattern.compile("[^:,]{1,64}:\\d{1,9}(,[^:,]{1,64}:\\d{1,9})*+");
  private static final Pattern TOKENS = Pattern.compile("\\d{1,9}");
  private static final String DEFAULT_CALL_ID = "placement";

  private final RequestValidator validator;
  private final InstanceChooser chooser;
  private final PlacementExplainer explainer;
  private final LongSupplier useAgeMs;

  /**
   * Creates the route.
   *
   * @param validator validates calls as those of callers
   * @param chooser the chooser that serves calls
   * @param explainer lists the servers
   * @param useAgeMs returns the age of the oldest figure on the use of servers, in milliseconds
   */
  PlacementRoutes(
      RequestValidator validator,
      InstanceChooser chooser,
      PlacementExplainer explainer,
      LongSupplier useAgeMs) {
    this.validator = validator;
    this.chooser = chooser;
    this.explainer = explainer;
    this.useAgeMs = useAgeMs;
  }

  /**
   * Where a call would be sent.
   *
   * @param route the name of the route
   * @param service the name of the service
   * @param workspace the workspace of the key, if the route requires one
   * @param chosen the id of the chosen server; empty if the call would have to wait
   * @param refusal why the call would be refused unless a server takes calls in time
   * @param retryAfterMs when the caller should come back then, in milliseconds, if that is known
   * @param isDueToHeldPrompt whether another server would be chosen if none held any prompt
   * @param useAgeMs the age of the oldest figure on the use of servers, in milliseconds
   * @param candidates the servers
   */
  record PlacementDocument(
      String route,
      String service,
      Optional<String> workspace,
      Optional<String> chosen,
      Optional<String> refusal,
      Optional<Long> retryAfterMs,
      boolean isDueToHeldPrompt,
      long useAgeMs,
      List<PlacementCandidate> candidates) {}

  /** Adds the route, which requires the operator token. */
  void addTo(OperatorRoutes routes) {
    routes.add("GET", "/placement", OperatorHandler.immediate(this::explain));
  }

  private OperatorResponse explain(OperatorRequest request) {
    CallHead head =
        new CallHead(
            request.query("id").orElse(DEFAULT_CALL_ID),
            HttpMethod.POST,
            required(request, "path"),
            required(request, "host"),
            EmptyHttpHeaders.INSTANCE,
            OptionalLong.empty(),
            request.query("key"),
            OptionalLong.empty(),
            Optional.empty(),
            demand(request),
            PartIds.none());
    return validator
        .validateHead(head)
        .fold(OperatorResponse::refused, call -> OperatorResponse.ok(document(call)));
  }

  private PlacementDocument document(AcceptedCall call) {
    TargetService service = call.service();
    CallDemand demand = call.head().demand();
    ServerConstraint constraint = ServerConstraint.excluding(Set.of());
    Optional<Choice> choice = chooser.choose(service, demand, constraint);
    Optional<Duration> pause =
        choice.isPresent() ? Optional.empty() : chooser.untilPauseEnds(service);
    Optional<String> refusal =
        choice.isPresent()
            ? Optional.empty()
            : Optional.of(
                pause.isPresent()
                    ? "no-server: the servers of the service want no calls for now"
                    : "no-server: no server of the service takes calls");
    return new PlacementDocument(
        call.route().name(),
        service.name(),
        call.workspace().map(workspace -> workspace.name()),
        choice.map(one -> one.instance().id()),
        refusal,
        pause.map(Duration::toMillis),
        choice.filter(Choice::isDueToHeldPrompt).isPresent(),
        useAgeMs.getAsLong(),
        explainer.candidates(service, demand, constraint, choice));
  }

  private static CallDemand demand(OperatorRequest request) {
    String parts = request.query("parts").orElse("");
    if (!parts.isEmpty() && !PARTS.matcher(parts).matches()) {
      throw new IllegalArgumentException(
          "parts: expected ID:TOKENS,..., but found '" + parts + "'");
    }
    List<PromptPart> promptParts =
        parts.isEmpty()
            ? List.of()
            : Arrays.stream(parts.split(",")).map(PromptPart::parse).toList();
    long partTokens = promptParts.stream().mapToLong(PromptPart::tokens).sum();
    return new CallDemand(
        tokens(request, "prompt_tokens").orElse(partTokens),
        tokens(request, "output_tokens").orElse(0),
        promptParts);
  }

  private static OptionalLong tokens(OperatorRequest request, String name) {
    Optional<String> text = request.query(name);
    if (text.isPresent() && !TOKENS.matcher(text.get()).matches()) {
      throw new IllegalArgumentException(
          name + ": expected a number of tokens, but found '" + text.get() + "'");
    }
    return text.map(Long::parseLong).map(OptionalLong::of).orElse(OptionalLong.empty());
  }

  private static String required(OperatorRequest request, String name) {
    return request
        .query(name)
        .filter(value -> !value.isBlank())
        .orElseThrow(() -> new IllegalArgumentException("the parameter " + name + " is required"));
  }
}
