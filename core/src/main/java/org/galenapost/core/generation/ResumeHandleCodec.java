package org.galenapost.core.generation;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes resume handles as short authenticated texts and decodes them.
 *
 * <p>The authentication code also covers the workspace, which the text does not contain. Safe for
 * use by several threads; each thread reuses its own {@link Mac} objects.
 */
public final class ResumeHandleCodec {

  private static final String ALGORITHM = "HmacSHA256";
  private static final byte FORMAT_VERSION = 1;
  private static final byte[] NO_BYTES = {};
  private static final int MAC_LENGTH_BYTES = 16;
  private static final int FIXED_LENGTH_BYTES = 64;
  private static final int MAX_TEXT_LENGTH = 2048;
  private static final int MAX_FIELD_LENGTH_BYTES = 255;
  private static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

  private final HandleKeys keys;
  private final Duration lifetime;
  private final InstantSource clock;
  private final ThreadLocal<Map<String, Mac>> macs = ThreadLocal.withInitial(HashMap::new);

  /**
   * Creates a codec.
   *
   * @param keys the accepted and signing keys
   * @param lifetime the maximum age of an accepted handle
   * @param clock the time of day
   */
  public ResumeHandleCodec(HandleKeys keys, Duration lifetime, InstantSource clock) {
    this.keys = Objects.requireNonNull(keys, "keys");
    this.lifetime = Objects.requireNonNull(lifetime, "lifetime");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Encodes a handle for a reader of a workspace. */
  public String encode(ResumeHandle handle, String workspace) {
    byte[] attempt = utf8(handle.attempt().generationId());
    byte[] generation = hasGenerationOfAttempt(handle) ? NO_BYTES : utf8(handle.generationId());
    byte[] server = utf8(handle.serverId());
    byte[] version = utf8(handle.modelVersion());
    byte[] keyId = utf8(keys.signingKeyId());
    int variableLengthBytes =
        keyId.length + generation.length + attempt.length + server.length + version.length;
    ByteBuffer buffer =
        ByteBuffer.allocate(FIXED_LENGTH_BYTES + variableLengthBytes + MAC_LENGTH_BYTES);
    buffer.put(FORMAT_VERSION);
    writeField(buffer, keyId);
    writeField(buffer, generation);
    writeField(buffer, attempt);
    buffer.putInt(handle.attempt().number());
    writeField(buffer, server);
    writeField(buffer, version);
    buffer.putLong(handle.seed()).putInt(handle.deliveredTokens()).putLong(handle.hash().value());
    buffer.put(handle.digest().bytes()).putInt((int) handle.issuedAt().getEpochSecond());
    byte[] mac = mac(keys.signingKeyId(), buffer.array(), buffer.position(), workspace);
    buffer.put(mac, 0, MAC_LENGTH_BYTES);
    return ENCODER.encodeToString(Arrays.copyOf(buffer.array(), buffer.position()));
  }

  private static boolean hasGenerationOfAttempt(ResumeHandle handle) {
    return handle.generationId().equals(handle.attempt().generationId());
  }

  /**
   * Decodes a handle and verifies its authentication code, workspace, request and age.
   *
   * @param text the encoded handle, as sent by the caller
   * @param workspace the caller's workspace
   * @param digest the digest of the caller's current request
   * @return the handle, or the reason for which it is rejected
   */
  public Either<HandleError, ResumeHandle> decode(
      String text, String workspace, RequestDigest digest) {
    return authenticate(text, workspace)
        .flatMap(ResumeHandleCodec::parse)
        .flatMap(handle -> check(handle, digest));
  }

  private Either<HandleError, ByteBuffer> authenticate(String text, String workspace) {
    if (text.length() > MAX_TEXT_LENGTH) {
      return Either.left(HandleError.FORGED);
    }
    byte[] bytes;
    try {
      bytes = DECODER.decode(text);
    } catch (IllegalArgumentException e) {
      return Either.left(HandleError.FORGED);
    }
    int payloadLength = bytes.length - MAC_LENGTH_BYTES;
    if (payloadLength < 2 || bytes[0] != FORMAT_VERSION || payloadLength < 2 + (bytes[1] & 0xff)) {
      return Either.left(HandleError.FORGED);
    }
    ByteBuffer payload = ByteBuffer.wrap(bytes, 1, payloadLength - 1);
    String keyId = readField(payload);
    return keys.keys().containsKey(keyId) && isAuthentic(keyId, bytes, payloadLength, workspace)
        ? Either.right(payload)
        : Either.left(HandleError.FORGED);
  }

  private boolean isAuthentic(String keyId, byte[] bytes, int payloadLength, String workspace) {
    byte[] expected = Arrays.copyOf(mac(keyId, bytes, payloadLength, workspace), MAC_LENGTH_BYTES);
    byte[] actual = Arrays.copyOfRange(bytes, payloadLength, bytes.length);
    return MessageDigest.isEqual(expected, actual);
  }

  private static Either<HandleError, ResumeHandle> parse(ByteBuffer buffer) {
    try {
      String generation = readField(buffer);
      AttemptId attempt = new AttemptId(readField(buffer), buffer.getInt());
      String generationId = generation.isEmpty() ? attempt.generationId() : generation;
      String server = readField(buffer);
      String version = readField(buffer);
      long seed = buffer.getLong();
      int delivered = buffer.getInt();
      RollingHash hash = new RollingHash(buffer.getLong());
      byte[] digest = new byte[RequestDigest.LENGTH_BYTES];
      buffer.get(digest);
      Instant issuedAt = Instant.ofEpochSecond(Integer.toUnsignedLong(buffer.getInt()));
      RequestDigest request = RequestDigest.ofBytes(digest);
      return Either.right(
          new ResumeHandle(
              generationId, attempt, server, version, seed, delivered, hash, request, issuedAt));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return Either.left(HandleError.FORGED);
    }
  }

  private Either<HandleError, ResumeHandle> check(ResumeHandle handle, RequestDigest digest) {
    if (!handle.digest().equals(digest)) {
      return Either.left(HandleError.FOREIGN);
    }
    Duration age = Duration.between(handle.issuedAt(), clock.instant());
    boolean isExpired = age.compareTo(lifetime) > 0 || age.negated().compareTo(MAX_CLOCK_SKEW) > 0;
    return isExpired ? Either.left(HandleError.EXPIRED) : Either.right(handle);
  }

  private byte[] mac(String keyId, byte[] payload, int length, String workspace) {
    Mac mac = macs.get().computeIfAbsent(keyId, this::newMac);
    mac.update(payload, 0, length);
    return mac.doFinal(utf8(workspace));
  }

  private Mac newMac(String keyId) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(keys.keys().get(keyId).secret(), ALGORITHM));
      return mac;
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException(ALGORITHM + " is missing", e);
    }
  }

  private static void writeField(ByteBuffer buffer, byte[] field) {
    if (field.length > MAX_FIELD_LENGTH_BYTES) {
      throw new IllegalArgumentException(
          "expected ids and versions of at most 255 bytes, but one had " + field.length);
    }
    buffer.put((byte) field.length).put(field);
  }

  private static String readField(ByteBuffer buffer) {
    byte[] field = new byte[buffer.get() & 0xff];
    buffer.get(field);
    return new String(field, StandardCharsets.UTF_8);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
