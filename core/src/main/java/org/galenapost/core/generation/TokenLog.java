package org.galenapost.core.generation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Stores the tokens of one answer as one text with the end index of each token. */
final class TokenLog {

  private static final int INITIAL_CAPACITY = 16;

  private final StringBuilder text = new StringBuilder();
  private int[] endIndexes = new int[INITIAL_CAPACITY];
  private int size;

  void append(String token) {
    if (size == endIndexes.length) {
      endIndexes = Arrays.copyOf(endIndexes, size + size / 2);
    }
    text.append(token);
    endIndexes[size] = text.length();
    size++;
  }

  int size() {
    return size;
  }

  List<String> tokens() {
    List<String> tokens = new ArrayList<>(size);
    int start = 0;
    for (int i = 0; i < size; i++) {
      tokens.add(text.substring(start, endIndexes[i]));
      start = endIndexes[i];
    }
    return tokens;
  }
}
