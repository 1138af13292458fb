package org.galenapost.core.drain;

import java.util.Objects;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.WriteFailure;

/** The outcome of an operator's order. */
public sealed interface DrainOutcome {

  /**
   * The platform accepted the change.
   *
   * @param record the server's configuration object in force
   */
  record Accepted(ConfigurationRecord record) implements DrainOutcome {
    /** Checks that the record is present. */
    public Accepted {
      Objects.requireNonNull(record, "record");
    }
  }

  /**
   * The daemons apply the order. The change is written to the platform once the platform answers.
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
   * @param failure the reason
   */
  record Refused(WriteFailure failure) implements DrainOutcome {
    /** Checks that the failure is present. */
    public Refused {
      Objects.requireNonNull(failure, "failure");
    }
  }

  /** The backend server does not exist. */
  record UnknownServer() implements DrainOutcome {}
}
