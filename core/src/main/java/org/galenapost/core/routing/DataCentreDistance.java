package org.galenapost.core.routing;

/** Tells how far apart two data centres are. */
@FunctionalInterface
public interface DataCentreDistance {

  /** All data centres are neighbours, one and a half milliseconds apart. */
  DataCentreDistance EQUIDISTANT = (from, to) -> from.equals(to) ? 0 : 1.5;

  /** Returns the round trip between two data centres in milliseconds, 0 within one. */
  double roundTripMillis(String from, String to);
}
