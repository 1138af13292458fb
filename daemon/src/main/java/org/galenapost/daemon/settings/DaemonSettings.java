package org.galenapost.daemon.settings;

/**
 * The identity of the daemon and its event loop threads.
 *
 * @param id the id, unique among all daemons
 * @param dataCentre the data centre of the entry host
 * @param eventLoopThreads the number of threads that serve all sockets
 */
public record DaemonSettings(String id, String dataCentre, int eventLoopThreads) {

  private static final int DEFAULT_EVENT_LOOP_THREADS = 2;
  private static final int MAX_EVENT_LOOP_THREADS = 64;

  static DaemonSettings bind(SectionReader section) {
    return new DaemonSettings(
        section.text("id"),
        section.text("data_centre"),
        section.count("event_loop_threads", DEFAULT_EVENT_LOOP_THREADS, 1, MAX_EVENT_LOOP_THREADS));
  }
}
