package org.galenapost.daemon.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/** Reads and compares bearer tokens. */
public final class BearerToken {

  private static final String SCHEME = "Bearer ";

  private BearerToken() {}

  /** Returns the bearer token of the {@code Authorization} header, if present. */
  public static Optional<String> of(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(HttpHeaderNames.AUTHORIZATION))
        .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
        .map(value -> value.substring(SCHEME.length()).trim())
        .filter(token -> !token.isEmpty());
  }

  /** Compares two tokens in constant time, to prevent timing attacks. */
  public static boolean isEqual(String one, String other) {
    return MessageDigest.isEqual(
        one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
  }
}
