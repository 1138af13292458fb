package org.galenapost.daemon.generation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.StreamState;
import org.galenapost.core.recovery.StartCause;
import org.galenapost.core.routing.RouteRequest;

/** Builds what the router needs to know about an attempt. */
final class RouteRequests {

  private static final int PREFIX_BLOCK_CHARACTERS = 256;
  private static final int PREFIX_DIGEST_BYTES = 8;

  private RouteRequests() {}

  static RouteRequest of(
      GenerationRequest request, StreamState state, Set<String> lostServerIds, StartCause cause) {
    return new RouteRequest(
        request.model(),
        false,
        request.adapter(),
        state.pin().version(),
        prefixDigest(request.prompt()),
        request.profile().urgency(),
        lostServerIds,
        cause.isResume());
  }

  /** Returns the digest of the first block of a prompt, as engines name it in cache events. */
  private static Optional<String> prefixDigest(String prompt) {
    if (prompt.length() < PREFIX_BLOCK_CHARACTERS) {
      return Optional.empty();
    }
    byte[] block = prompt.substring(0, PREFIX_BLOCK_CHARACTERS).getBytes(StandardCharsets.UTF_8);
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(block);
      return Optional.of(HexFormat.of().formatHex(digest, 0, PREFIX_DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing", e);
    }
  }
}
