package org.galenapost.core.rollout;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * An operator's order to move a service to another version. It may be faulty.
 *
 * @param name the name of the object that holds the order
 * @param service the service
 * @param target the version that the service is moved to
 * @param withinMs the time limit, in milliseconds from the beginning
 * @param status the status that was written last
 * @param version the version of the object that holds the order
 */
public record RolloutOrder(
    String name,
    String service,
    String target,
    long withinMs,
    Optional<RolloutStatus> status,
    long version) {

  /** The kind of the objects that hold orders. */
  public static final String KIND = "rollouts";

  /** Replaces absent texts by empty ones; {@link #fault} names them. */
  public RolloutOrder {
    Objects.requireNonNull(name, "name");
    service = Objects.requireNonNullElse(service, "");
    target = Objects.requireNonNullElse(target, "");
    status = status == null ? Optional.empty() : status;
  }

  /**
   * Returns why the order cannot be carried out, empty if it can.
   *
   * @param isKnownService whether the configuration in force has a service of a name
   */
  public Optional<String> fault(Predicate<String> isKnownService) {
    if (service.isEmpty() || target.isEmpty()) {
      return Optional.of(service.isEmpty() ? "service is missing" : "target is missing");
    }
    if (!service.equals(name)) {
      return Optional.of("service differs from the name of the object");
    }
    if (withinMs <= 0) {
      return Optional.of("within_s is missing or not above 0");
    }
    return isKnownService.test(service) ? Optional.empty() : Optional.of("service is not known");
  }

  /** Returns whether the order's fields are faulty, whatever the configuration says. */
  @JsonIgnore
  boolean isFaulty() {
    return fault(anyService -> true).isPresent();
  }

  /** Returns whether an order asks for the same. */
  boolean asksForSame(RolloutOrder other) {
    return service.equals(other.service)
        && target.equals(other.target)
        && withinMs == other.withinMs;
  }

  /** Returns the order without its status. */
  RolloutOrder withoutStatus() {
    return new RolloutOrder(name, service, target, withinMs, Optional.empty(), version);
  }

  /** Returns the status if it is about the order's target. */
  @JsonIgnore
  Optional<RolloutStatus> statusOfTarget() {
    return status.filter(written -> written.target().equals(target));
  }
}
