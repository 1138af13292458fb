package org.galenapost.daemon.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.galenapost.core.json.Json;

/**
 * Writes and reads the tickets of handed-over calls. A ticket carries a proof of the secret that
 * all daemons share, so that no caller can claim to be a daemon.
 */
public final class HandoverTickets {

  private static final AsciiString HEADER = AsciiString.cached("Galenapost-Handover");
  private static final AsciiString NOT_RUN_HEADER = AsciiString.cached("Galenapost-Not-Run");
  private static final AsciiString NOT_SENT = AsciiString.cached("not-sent");
  private static final AsciiString SENT = AsciiString.cached("sent");
  private static final String ALGORITHM = "HmacSHA256";
  private static final String SEPARATOR = ".";

  private final SecretKeySpec key;

  /** Creates tickets that prove the given secret. */
  public HandoverTickets(String secret) {
    key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /** Sets the ticket of a request, in place of one that the caller may have sent. */
  public void write(HandoverTicket ticket, HttpHeaders headers) {
    String content = encode(Json.write(ticket).getBytes(StandardCharsets.UTF_8));
    headers.set(HEADER, content + SEPARATOR + encode(proof(content)));
  }

  /** Returns whether a request has a ticket, valid or not. */
  public static boolean isPresent(HttpHeaders headers) {
    return headers.contains(HEADER);
  }

  /**
   * States in the response to a handed-over call that no server ran it.
   *
   * @param headers the headers of the response
   * @param wasSent whether the call was sent to a server, which refused it
   */
  public static void markNotRun(HttpHeaders headers, boolean wasSent) {
    headers.set(NOT_RUN_HEADER, wasSent ? SENT : NOT_SENT);
  }

  /** Removes the statement that no server ran the call, which only a daemon may make. */
  public static void removeNotRunMark(HttpHeaders headers) {
    headers.remove(NOT_RUN_HEADER);
  }

  /** Returns whether the daemon that a call was handed over to states that no server ran it. */
  public static boolean isMarkedNotRun(HttpHeaders headers) {
    return headers.contains(NOT_RUN_HEADER);
  }

  /** Returns whether that daemon sent the call to a server, which refused it. */
  public static boolean isMarkedSent(HttpHeaders headers) {
    return headers.contains(NOT_RUN_HEADER, SENT, false);
  }

  /** Removes the ticket from a request and returns it if it is valid for the call. */
  public Optional<HandoverTicket> take(String callId, HttpHeaders headers) {
    String value = headers.get(HEADER);
    headers.remove(HEADER);
    if (value == null) {
      return Optional.empty();
    }
    int separator = value.indexOf(SEPARATOR);
    if (separator < 0) {
      return Optional.empty();
    }
    String content = value.substring(0, separator);
    byte[] stated = value.substring(separator + 1).getBytes(StandardCharsets.UTF_8);
    byte[] expected = encode(proof(content)).getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(stated, expected)) {
      return Optional.empty();
    }
    String json = new String(Base64.getUrlDecoder().decode(content), StandardCharsets.UTF_8);
    return Json.read(json, HandoverTicket.class)
        .toJavaOptional()
        .filter(ticket -> ticket.callId().equals(callId));
  }

  private byte[] proof(String content) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(content.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("MAC algorithm " + ALGORITHM + " is not available", e);
    }
  }

  private static String encode(byte[] bytes) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }
}
