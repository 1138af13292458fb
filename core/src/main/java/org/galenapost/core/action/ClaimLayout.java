package org.galenapost.core.action;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;
import org.galenapost.core.platform.ObjectKey;

/** Maps a key to the objects of the platform's object API that store its claim. */
final class ClaimLayout {

  static final String CLAIMS_KIND = "claims";
  static final String EXPIRED_KIND = "claims-expired";

  /** Number of buckets. It cannot be changed in a running fleet. */
  static final int BUCKETS = 256;

  /** Number of shards of expired keys per bucket. */
  static final int SHARDS_PER_BUCKET = 16;

  /** Length of the digest of an expired key, in characters. */
  static final int DIGEST_CHARS = 16;

  private static final String ALGORITHM = "SHA-256";
  private static final int DIGEST_BYTES = 12;
  private static final int SHARD_BYTE_INDEX = 4;

  private ClaimLayout() {}

  static int bucketOf(String workspace, String key) {
    return Math.floorMod(ByteBuffer.wrap(hash(workspace, key)).getInt(), BUCKETS);
  }

  static int shardOf(String workspace, String key) {
    return Math.floorMod(hash(workspace, key)[SHARD_BYTE_INDEX], SHARDS_PER_BUCKET);
  }

  static String digestOf(String workspace, String key) {
    byte[] hash = hash(workspace, key);
    byte[] tail = Arrays.copyOfRange(hash, hash.length - DIGEST_BYTES, hash.length);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(tail);
  }

  static ObjectKey bucketKey(int bucket) {
    return new ObjectKey(CLAIMS_KIND, Integer.toString(bucket));
  }

  static ObjectKey shardKey(int bucket, int shard) {
    return new ObjectKey(EXPIRED_KIND, bucket + "-" + shard);
  }

  private static byte[] hash(String workspace, String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(workspace.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      return digest.digest(key.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("message digest " + ALGORITHM + " is not available", e);
    }
  }
}
