package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Generates the arrivals of a run, reproducibly from the seed of the workload. */
final class ArrivalSchedule {

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private ArrivalSchedule() {}

  /** Returns the arrivals sorted by time; each class is an independent Poisson process. */
  static List<Arrival> of(Workload workload) {
    SplittableRandom random = new SplittableRandom(workload.seed());
    long endNanos = TimeUnit.MILLISECONDS.toNanos(workload.durationMs());
    List<Arrival> arrivals = new ArrayList<>();
    for (RequestClass requestClass : workload.classes()) {
      addArrivals(arrivals, requestClass, endNanos, workload.seed(), random.split());
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
    return arrivals;
  }

  private static void addArrivals(
      List<Arrival> arrivals,
      RequestClass requestClass,
      long endNanos,
      long runSeed,
      RandomGenerator random) {
    Prompts prompts = new Prompts(requestClass, random);
    double meanGapNanos = NANOS_PER_SECOND / requestClass.ratePerSecond();
    long atNanos = (long) (random.nextExponential() * meanGapNanos);
    for (int number = 0; atNanos < endNanos; number++) {
      String key = requestClass.name() + "-" + runSeed + "-" + number;
      arrivals.add(new Arrival(atNanos, requestClass, key, prompts.next(key), random.nextInt()));
      atNanos += (long) (random.nextExponential() * meanGapNanos);
    }
  }
}
