package org.galenapost.core.dispatch;

import java.util.Locale;

/** Whether a server may be chosen for a call. */
enum Eligibility {
  /** The server may be chosen. */
  ELIGIBLE,
  /** The server is excluded or runs another version than the required one. */
  NOT_ALLOWED,
  /** The server asked for a pause. */
  PAUSED,
  /** The server has no room and must not be made to refuse calls. */
  BRITTLE_WITHOUT_ROOM;

  /** Returns the name for operators. */
  String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
