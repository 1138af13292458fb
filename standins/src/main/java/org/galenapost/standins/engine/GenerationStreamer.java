package org.galenapost.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.galenapost.standins.http.EventStream;
import org.galenapost.standins.json.Json;

/** Sends one generation's tokens to one connection, no faster than it takes them. */
final class GenerationStreamer {

  private final Generation generation;
  private final EventStream stream;
  private final EngineFaults faults;
  private final FreezeGate gate;
  private int nextOffset;
  private boolean hasEnded;

  GenerationStreamer(
      Generation generation,
      EventStream stream,
      EngineFaults faults,
      FreezeGate gate,
      int firstOffset) {
    this.generation = generation;
    this.stream = stream;
    this.faults = faults;
    this.gate = gate;
    this.nextOffset = firstOffset;
    stream.onWritable(this::sendAvailable);
  }

  EventStream stream() {
    return stream;
  }

  /** Returns whether it has sent the last event. */
  boolean hasEnded() {
    return hasEnded;
  }

  /** Sends what is there while the connection takes it. */
  void sendAvailable() {
    if (hasEnded || gate.isFrozen()) {
      return;
    }
    if (generation.isCancelled()) {
      hasEnded = true;
      stream.close();
      return;
    }
    boolean hasWritten = false;
    while (!hasEnded && nextOffset < generation.length() && stream.isWritable()) {
      sendToken(nextOffset);
      nextOffset++;
      hasWritten = true;
    }
    if (!hasEnded && nextOffset >= generation.length() && generation.hasEnded()) {
      finish();
    } else if (hasWritten) {
      stream.flush();
    }
  }

  private void sendToken(int offset) {
    String token = generation.token(offset);
    String json = Json.write(Chunk.token(generation, offset));
    if (isMultiByte(token) && faults.consumeMidEventCut()) {
      sendCutEvent(json, token);
      return;
    }
    if (faults.consumeSkippedToken()) {
      return;
    }
    stream.write(json);
    if (faults.consumeDuplicateToken()) {
      stream.write(json);
    }
  }

  private void sendCutEvent(String json, String token) {
    hasEnded = true;
    int character = json.indexOf(token) + firstMultiByteIndex(token);
    byte[] whole = ("data: " + json).getBytes(StandardCharsets.UTF_8);
    int before = ("data: " + json.substring(0, character)).getBytes(StandardCharsets.UTF_8).length;
    stream.writeRaw(Arrays.copyOf(whole, before + 1)).addListener(written -> stream.close());
  }

  private static boolean isMultiByte(String token) {
    return firstMultiByteIndex(token) < token.length();
  }

  private static int firstMultiByteIndex(String token) {
    return (int) token.chars().takeWhile(character -> character < 0x80).count();
  }

  private void finish() {
    hasEnded = true;
    stream.write(Json.write(Chunk.finish(generation)));
    stream.write("[DONE]");
    stream.end();
  }
}
