package org.galenapost.core.drain;

import java.util.Objects;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.WriteFailure;

/** Says what became of an operator's order. */
public sealed interface DrainOutcome {

  /**
   * The platform accepted the change.
   *
   * @param record the server's object in force
   */
  record Accepted(ConfigurationRecord record) implements DrainOutcome {
    /** Checks that the record is present. */
    public Accepted {
      Objects.requireNonNull(record, "record");
    }
  }

  /**
   * The daemons follow the order, and the change is written once the platform answers.
   *
   * @param order the order in force
   */
  record PendingWrite(DrainOrder order) implements DrainOutcome {
    /** Checks that the order is present. */
    public PendingWrite {
      Objects.requireNonNull(order, "order");
    }
  }

  /**
   * The order was refused.
   *
   * @param failure why
   */
  record Refused(WriteFailure failure) implements DrainOutcome {
    /** Checks that the failure is present. */
    public Refused {
      Objects.requireNonNull(failure, "failure");
    }
  }

  /** There is no such backend server. */
  record UnknownServer() implements DrainOutcome {}
}
