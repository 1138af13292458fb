package org.galenapost.standins.load;

import java.util.concurrent.ScheduledExecutorService;

/**
 * The objects shared by all calls of a run.
 *
 * @param client the HTTP client
 * @param targets the caller ports that receive the requests
 * @param scheduler runs delayed sends and reconnects
 */
record CallContext(LoadClient client, Targets targets, ScheduledExecutorService scheduler) {}
