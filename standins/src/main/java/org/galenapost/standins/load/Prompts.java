package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Generates the prompts of a class: one of a few shared prefixes and a unique part. */
final class Prompts {

  private static final List<String> WORDS =
      List.of("rights ", "summary ", "for ", "scene ", "route ", "pickup ", "før ", "mafuta ");

  private final RequestClass requestClass;
  private final RandomGenerator random;
  private final List<String> prefixes = new ArrayList<>();

  Prompts(RequestClass requestClass, RandomGenerator random) {
    this.requestClass = requestClass;
    this.random = random;
    for (int i = 0; i < requestClass.prefixes(); i++) {
      String first = requestClass.name() + " prefix " + i + " ";
      prefixes.add(words(first, requestClass.prefixCharacters()));
    }
  }

  /** Returns a prompt that is unique within the run because it contains the key. */
  String next(String key) {
    String uniquePart = words(key + " ", requestClass.promptCharacters());
    return prefixes.isEmpty()
        ? uniquePart
        : prefixes.get(random.nextInt(prefixes.size())) + uniquePart;
  }

  private String words(String first, int minCharacters) {
    StringBuilder text = new StringBuilder(first);
    while (text.length() < minCharacters) {
      text.append(WORDS.get(random.nextInt(WORDS.size())));
    }
    return text.toString();
  }
}
