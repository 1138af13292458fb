package org.galenapost.core.routing;

/** Gives the network distance between two data centres. */
@FunctionalInterface
public interface DataCentreDistance {

  /** Assumes a round trip of 1.5 ms between any two data centres. */
  DataCentreDistance EQUIDISTANT = (from, to) -> from.equals(to) ? 0 : 1.5;

  /** Returns the round-trip time between two data centres in milliseconds, 0 within one. */
  double roundTripMillis(String from, String to);
}
