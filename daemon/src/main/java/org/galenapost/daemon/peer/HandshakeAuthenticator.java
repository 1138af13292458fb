package org.galenapost.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Makes and checks proofs of the peer secret. A proof covers the prover's role, so that it cannot
 * be reflected, and the other side's challenge, so that it cannot be replayed.
 */
final class HandshakeAuthenticator {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int CHALLENGE_BYTES = 32;
  private static final byte SEPARATOR = 0;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  HandshakeAuthenticator(String secret) {
    key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  byte[] newChallenge() {
    byte[] challenge = new byte[CHALLENGE_BYTES];
    random.nextBytes(challenge);
    return challenge;
  }

  Handshake.Proof prove(Role proverRole, Handshake.Challenge prover, Handshake.Challenge verifier) {
    return new Handshake.Proof(code(proverRole, prover, verifier));
  }

  boolean isValid(
      Handshake.Proof proof, Role proverRole, Handshake.Challenge prover, Handshake.Challenge verifier) {
    return prover.challenge().length == CHALLENGE_BYTES
        && MessageDigest.isEqual(proof.code(), code(proverRole, prover, verifier));
  }

  private byte[] code(Role proverRole, Handshake.Challenge prover, Handshake.Challenge verifier) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update((byte) proverRole.ordinal());
      mac.update(verifier.challenge());
      mac.update(prover.challenge());
      mac.update(prover.daemonId().getBytes(StandardCharsets.UTF_8));
      mac.update(SEPARATOR);
      mac.update((prover.ip() + " " + prover.port()).getBytes(StandardCharsets.UTF_8));
      mac.update(SEPARATOR);
      mac.update(verifier.daemonId().getBytes(StandardCharsets.UTF_8));
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Says which side of a connection proves. */
  enum Role {
    DIALER,
    LISTENER
  }
}
