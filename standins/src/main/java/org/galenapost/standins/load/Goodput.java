package org.galenapost.standins.load;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.galenapost.standins.load.ClassReport.Outcomes;

/** Computes the goodput and the fairness between workspaces. */
final class Goodput {

  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  private Goodput() {}

  /** Returns the number of answers completed within their deadline per second of arrivals. */
  static double perSecond(List<ClassReport> classes, long durationMs) {
    long useful = classes.stream().map(ClassReport::outcomes).mapToLong(Goodput::useful).sum();
    return useful / (durationMs / MILLIS_PER_SECOND);
  }

  /** Returns Jain's fairness index over the ratio of useful answers to requests per workspace. */
  static double fairness(List<ClassReport> classes) {
    Map<String, Share> shares = new TreeMap<>();
    for (ClassReport report : classes) {
      Outcomes outcomes = report.outcomes();
      Share share = new Share(useful(outcomes), outcomes.sent());
      shares.merge(report.workspace(), share, Share::plus);
    }
    return jainIndex(shares.values().stream().filter(s -> s.sent > 0).map(Share::ratio).toList());
  }

  private static double jainIndex(Collection<Double> ratios) {
    double sum = ratios.stream().mapToDouble(ratio -> ratio).sum();
    double sumOfSquares = ratios.stream().mapToDouble(ratio -> ratio * ratio).sum();
    return sumOfSquares == 0 ? 0 : sum * sum / (ratios.size() * sumOfSquares);
  }

  private static long useful(Outcomes outcomes) {
    return outcomes.completed() - outcomes.late();
  }

  private record Share(long useful, long sent) {

    private Share plus(Share other) {
      return new Share(useful + other.useful, sent + other.sent);
    }

    private double ratio() {
      return (double) useful / sent;
    }
  }
}
