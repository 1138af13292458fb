package org.galenapost.daemon.gateway;

import org.galenapost.core.origin.OriginRecords;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.daemon.log.EventLog;

/** Logs how the records of streams in the platform's store are read and written. */
final class OriginRecordLog implements OriginRecords.Listener {

  private static final EventLog LOG = EventLog.of(OriginRecordLog.class);

  @Override
  public void onRead(int records, int streams, boolean isComplete) {
    LOG.info("origin_records_read")
        .with("records", records)
        .with("streams", streams)
        .with("history_complete", isComplete)
        .write();
  }

  @Override
  public void onFailure(PlatformError error) {
    LOG.warn("origin_record_call_failed").with("error", error).write();
  }
}
