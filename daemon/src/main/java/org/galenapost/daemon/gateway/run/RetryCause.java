package org.galenapost.daemon.gateway.run;

import java.util.Locale;

/** Why a call is sent to a server again. */
enum RetryCause {
  /** A server refused the call without running it. */
  REFUSED,
  /** The answer of a server that may have run the call did not arrive whole. */
  LOST,
  /** The server ended or was cut off while it may have run the call. */
  CUT_OFF,
  /** A server answered with a failure. */
  FAILED;

  /** Returns the name used in logs and counters. */
  String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
