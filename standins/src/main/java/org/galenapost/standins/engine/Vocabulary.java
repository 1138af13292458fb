package org.galenapost.standins.engine;

import java.util.List;

/** The tokens that an engine produces; some take several bytes in UTF-8. */
final class Vocabulary {

  private static final List<String> TOKENS =
      List.of(
          "the ",
          "scene ",
          "cue ",
          "sheet ",
          "route ",
          "digest ",
          "rights ",
          "quote ",
          "license ",
          "drum ",
          "depot ",
          "hotel ",
          "kitchen ",
          "receipt ",
          "report ",
          "music ",
          "film ",
          "agency ",
          "edit ",
          "lock ",
          "and ",
          "of ",
          "with ",
          "for ",
          "fællesskab ",
          "rettighed ",
          "løbetid ",
          "ændring ",
          "udgåede ",
          "øre ",
          "hørt ",
          "forår ",
          "mafuta ",
          "njia ",
          "ng’ombe ",
          "wiki ",
          "jikoni ",
          "hoteli ",
          "mkusanyaji ",
          "ripoti ",
          "🎬 ",
          "🛢️ ",
          "— ",
          "… ",
          "€ ",
          "\n",
          ", ",
          ". ",
          "one ",
          "two ",
          "three ",
          "four ",
          "five ",
          "six ",
          "seven ",
          "eight ",
          "north ",
          "south ",
          "east ",
          "west ",
          "early ",
          "late ",
          "open ",
          "closed ");

  private Vocabulary() {}

  /** Returns the token that a number stands for. */
  static String tokenAt(int number) {
    return TOKENS.get(Math.floorMod(number, TOKENS.size()));
  }
}
