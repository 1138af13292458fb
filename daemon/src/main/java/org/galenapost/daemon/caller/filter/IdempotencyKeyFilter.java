package org.galenapost.daemon.caller.filter;

import java.util.regex.Pattern;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;

/** Takes the caller's idempotency key, if it sent one. */
public final class IdempotencyKeyFilter implements Filter {

  /** The header that carries the key. */
  public static final String KEY_HEADER = "Idempotency-Key";

  private static final Pattern VALID_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    String key = exchange.request().headers().get(KEY_HEADER);
    if (key == null) {
      next.proceed(exchange);
    } else if (VALID_KEY.matcher(key).matches()) {
      exchange.setIdempotencyKey(key);
      next.proceed(exchange);
    } else {
      exchange.refuse(
          Refusal.notRun(
              RefusalReason.BAD_REQUEST,
              KEY_HEADER + " must have 1 to 200 visible ASCII characters."));
    }
  }
}
