package org.galenapost.standins.load;

import java.util.Optional;

/**
 * One server-sent event.
 *
 * @param id the id, if present
 * @param name the event type, by default {@code message}
 * @param data the data lines, joined by line breaks
 */
record StreamEvent(Optional<String> id, String name, String data) {}
