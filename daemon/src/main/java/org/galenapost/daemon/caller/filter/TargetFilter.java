package org.galenapost.daemon.caller.filter;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.CallerRequest;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;
import org.galenapost.daemon.caller.Target;

/** Finds out what a request asks for. */
public final class TargetFilter implements Filter {

  private static final String COMPLETIONS_PATH = "/v1/completions";
  private static final Pattern SERVICE_URI =
      Pattern.compile("/v1/services/(?<service>[A-Za-z0-9._-]+)(?<uri>/[\\x21-\\x7e]*)");
  private static final Pattern PARENT_SEGMENT = Pattern.compile("(^|/)\\.\\.?(/|$)");
  private static final Set<HttpMethod> SERVICE_METHODS =
      Set.of(HttpMethod.GET, HttpMethod.POST, HttpMethod.PUT);

  private final GenerationTargetReader generationReader;

  /** Reads generations by the given reader. */
  public TargetFilter(GenerationTargetReader generations) {
    this.generationReader = generations;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    find(exchange)
        .peek(exchange::setTarget)
        .peek(target -> next.proceed(exchange))
        .peekLeft(exchange::refuse);
  }

  private Either<Refusal, Target> find(Exchange exchange) {
    CallerRequest request = exchange.request();
    if (!request.path().equals(COMPLETIONS_PATH)) {
      return findService(request);
    }
    return request.method().equals(HttpMethod.POST)
        ? generationReader.read(exchange).mapLeft(TargetFilter::badRequest)
        : Either.left(badRequest("Completions are requested with POST."));
  }

  private static Either<Refusal, Target> findService(CallerRequest request) {
    Matcher uri = SERVICE_URI.matcher(request.uri());
    if (!uri.matches() || PARENT_SEGMENT.matcher(request.path()).find()) {
      return Either.left(Refusal.notRun(RefusalReason.NOT_FOUND, "There is nothing at this path."));
    }
    return SERVICE_METHODS.contains(request.method())
        ? Either.right(new Target.ServiceCall(uri.group("service"), uri.group("uri")))
        : Either.left(badRequest("Services are called with GET, POST or PUT."));
  }

  private static Refusal badRequest(String detail) {
    return Refusal.notRun(RefusalReason.BAD_REQUEST, detail);
  }
}
