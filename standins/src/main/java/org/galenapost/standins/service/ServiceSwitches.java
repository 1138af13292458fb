package org.galenapost.standins.service;

/** The request bodies of the control endpoints that set faults. */
final class ServiceSwitches {

  private ServiceSwitches() {}

  /**
   * Delays every call before it runs.
   *
   * @param delayMs the delay in milliseconds; 0 removes it
   */
  record Delay(long delayMs) {}

  /**
   * Applies a fault to the next calls.
   *
   * @param count the number of calls; 0 clears the fault
   */
  record NextCalls(int count) {}

  /**
   * Refuses the next calls without running them.
   *
   * @param count the number of calls; 0 clears the fault
   * @param status the HTTP status of the refusal; 0 means 503
   */
  record Refuse(int count, int status) {}
}
