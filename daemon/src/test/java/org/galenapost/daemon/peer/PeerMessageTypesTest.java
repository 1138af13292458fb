package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.galenapost.core.dispatch.ServerUse;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class PeerMessageTypesTest {

  private static final int MAX_REPORT_BYTES = 100;

  private final ObjectMapper mapper = PeerMessageTypes.newMapper();

  @Test
  void encodesUseReportWithinSizeLimit() throws IOException {
    UseReport report =
        new UseReport(
            List.of(
                new UseReport.InstanceUse(
                    "i-9f3c01ab77@1796355365256", new ServerUse(3, 8_200, 26_100))));

    byte[] bytes = mapper.writeValueAsBytes(report);

    assertThat(mapper.readValue(bytes, PeerMessage.class)).isEqualTo(report);
    assertThat(bytes).hasSizeLessThan(MAX_REPORT_BYTES);
  }
}
