package org.galenapost.core.origin;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * The service and the software version whose server sent the first event of a stream.
 *
 * @param service the name of the service
 * @param softwareVersion the version of the server's software
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String service, String softwareVersion) {

  /** Checks that both parts are present. */
  public StreamOrigin {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(softwareVersion, "softwareVersion");
  }
}
