package org.galenapost.core.action;

import java.util.Objects;

/**
 * Identifies a non-idempotent request.
 *
 * @param workspace the workspace of the caller
 * @param key the caller's idempotency key, unique within the workspace
 * @param bodyDigest the SHA-256 digest of method, path and body, in lower-case hexadecimal
 * @param service the name of the plain service
 */
public record ActionIdentity(String workspace, String key, String bodyDigest, String service) {

  /** Checks that every part is present. */
  public ActionIdentity {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(service, "service");
  }
}
