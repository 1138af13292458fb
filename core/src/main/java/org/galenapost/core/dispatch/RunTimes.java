package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the servers of a service work on a call, from the answers that this daemon got
 * lately. A service that has not answered yet has no estimate, so that no call is refused for it.
 * Not safe for use by several threads.
 */
public final class RunTimes {

  /** Weights the last ten answers most, so that the estimate follows a service that slows down. */
  private static final double MIN_SAMPLE_WEIGHT = 0.1;

  private static final double NANOS_PER_MS = 1_000_000;

  private final Map<String, ServiceTimes> services = new HashMap<>();

  /**
   * Records the answer to a call that is no stream.
   *
   * @param service the service
   * @param elapsed the time from the send to the answer
   */
  public void onAnswer(String service, Duration elapsed) {
    ServiceTimes times = timesOf(service);
    times.answerMs.add(elapsed.toNanos() / NANOS_PER_MS);
    times.runMs.add(elapsed.toNanos() / NANOS_PER_MS);
  }

  /**
   * Records a stream that one server produced from its first event to its end.
   *
   * @param service the service
   * @param outputTokens the maximum number of tokens that the call allowed
   * @param events the number of events
   * @param sinceFirstEvent the time from the first event to the end
   */
  public void onStream(String service, long outputTokens, long events, Duration sinceFirstEvent) {
    if (outputTokens <= 0 || events <= 0) {
      return;
    }
    ServiceTimes times = timesOf(service);
    times.eventsPerToken.add((double) events / outputTokens);
    times.msPerEvent.add(sinceFirstEvent.toNanos() / NANOS_PER_MS / events);
    times.runMs.add(sinceFirstEvent.toNanos() / NANOS_PER_MS);
  }

  /** Returns the average time of the calls of a service; zero if it has not answered yet. */
  public Duration meanRun(String service) {
    return duration(timesOf(service).runMs.mean);
  }

  /** Returns the work of a call that is no stream. */
  public WorkLeft workOfAnswer(String service) {
    return new WorkLeft(duration(timesOf(service).answerMs.mean), Duration.ZERO);
  }

  /**
   * Returns the work left of a stream.
   *
   * @param service the service
   * @param demand the resources that the call needs
   * @param tokensPerMs the speed at which the prompt is read
   * @param eventsDone the number of events that the caller has
   */
  public WorkLeft workOfStream(
      String service, CallDemand demand, double tokensPerMs, long eventsDone) {
    ServiceTimes times = timesOf(service);
    double events = demand.outputTokens() * times.eventsPerToken.mean;
    double eventsLeft = Math.max(0, events - eventsDone);
    return new WorkLeft(
        duration(demand.promptTokens() / tokensPerMs),
        duration(eventsLeft * times.msPerEvent.mean));
  }

  private ServiceTimes timesOf(String service) {
    return services.computeIfAbsent(service, name -> new ServiceTimes());
  }

  private static Duration duration(double ms) {
    return Duration.ofNanos((long) (ms * NANOS_PER_MS));
  }

  private static final class ServiceTimes {
    private final MovingAverage runMs = new MovingAverage();
    private final MovingAverage answerMs = new MovingAverage();
    private final MovingAverage eventsPerToken = new MovingAverage();
    private final MovingAverage msPerEvent = new MovingAverage();
  }

  private static final class MovingAverage {
    private double mean;
    private int samples;

    void add(double sample) {
      samples++;
      mean += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples) * (sample - mean);
    }
  }
}
